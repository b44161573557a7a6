/** Settings and faults of the model engine. */
import { FencingMode, WorkerRole } from '@jujubelanding/types';

export interface EngineSettings {
  slots: number;
  /** Generations that wait behind the slots; further ones are refused. */
  maxQueue: number;
  /** Duration of a decode step with no stream, and its growth per running stream. */
  stepBaseMs: number;
  stepPerStreamMs: number;
  prefillMsPerToken: number;
  /** Blocks in the prefix cache. */
  prefixCacheBlocks: number;
  /** Streams whose KV cache is kept after they have ended. */
  keptStreams: number;
  cacheEventDelayMs: number;
  /** Probability that a cache event is never published. */
  cacheEventLossChance: number;
  loadReportIntervalMs: number;
  /** Time to load a model or an adapter where no weight store is connected. */
  loadMs: number;
  fencing: FencingMode;
  models: string[];
  adapters: string[];
  role: WorkerRole;
  /** A prompt that contains this text always fails. */
  failureMarker: string;
}

/** Defaults resemble a small accelerator: 32 ms between tokens alone, 40 ms with all slots busy. */
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
  /** The stream breaks after the given number of tokens. */
  breakChance: number;
  breakAfterTokens: number;
  /** One token carries an unknown request id. */
  wrongIdChance: number;
  /** One token carries the id of another running stream, where there is one. */
  swapChance: number;
  /** One token is left out. */
  gapChance: number;
  /** The end event arrives before the last tokens. */
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
