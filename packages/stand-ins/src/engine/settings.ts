/** Settings and faults of the model engine. */
import { FencingMode, WorkerRole } from '@jujubelanding/types';

export interface EngineSettings {
  slots: number;
  /** Number of generations that can wait for a slot; further ones are refused. */
  maxQueue: number;
  /** Base duration of a decode step, and the time that each running stream adds. */
  stepBaseMs: number;
  stepPerStreamMs: number;
  prefillMsPerToken: number;
  /** Capacity of the prefix cache in blocks. */
  prefixCacheBlocks: number;
  /** Number of streams whose KV cache is kept after they ended. */
  keptStreams: number;
  cacheEventDelayMs: number;
  /** Probability that a cache event is never published. */
  cacheEventLossChance: number;
  loadReportIntervalMs: number;
  /** Time to load a model or an adapter when no weight store is connected. */
  loadMs: number;
  fencing: FencingMode;
  models: string[];
  adapters: string[];
  role: WorkerRole;
  /** A prompt that contains this text always fails. */
  failureMarker: string;
}

/** Defaults resemble a small accelerator: 32 ms between tokens of one stream, 40 ms with all slots busy. */
export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
  slots: 16,
  maxQueue: 256,
  stepBaseMs: 31.5,
  stepPerStreamMs: 0.5,
  prefillMsPerToken: 0.2,
  prefixCacheBlocks: 512,
  keptStreams: 64,
  cacheEventDelayMs: 300,
  cacheEventLossChance: 0.02,
  loadReportIntervalMs: 250,
  loadMs: 2000,
  fencing: FencingMode.Checked,
  models: ['base'],
  adapters: [],
  role: WorkerRole.Mixed,
  failureMarker: '[[always-fails]]',
};

/** Faults of streams, each with a probability per stream. */
export interface StreamFaults {
  /** The stream is interrupted after breakAfterTokens tokens. */
  breakChance: number;
  /** Number of tokens before a break, and before the token with a wrong id, a swapped id or a gap. */
  breakAfterTokens: number;
  /** One token carries an unknown request id. */
  wrongIdChance: number;
  /** One token carries the id of another running stream, or the id `swapped` if no other runs. */
  swapChance: number;
  /** One token is omitted. */
  gapChance: number;
  /** The stream ends without its last token, which the end event still counts. */
  truncateChance: number;
  /** The stream fails before its first token. */
  failChance: number;
}

/** Creates faults that are all off. */
export const createStreamFaults = (): StreamFaults => ({
  breakChance: 0,
  breakAfterTokens: 3,
  wrongIdChance: 0,
  swapChance: 0,
  gapChance: 0,
  truncateChance: 0,
  failChance: 0,
});
