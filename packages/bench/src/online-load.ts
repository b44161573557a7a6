/**
 * Seeded online load: a rate that changes every few seconds, with bursts after nearly idle periods.
 */
import type { Random } from '@jujubelanding/random';
import type { Message } from '@jujubelanding/types';
import {
  createText,
  drawUniform,
  drawExponential,
  drawLogNormal,
  type LogNormalParameters,
} from './distributions.js';
import { createOnlineRequestId } from './request-ids.js';
import { createRandomStream } from './random-stream.js';

/** Prompt lengths in characters, without the shared prefix. */
const PROMPT_CHARACTERS: LogNormalParameters = {
  median: 600,
  sigma: 0.7,
  least: 80,
  greatest: 6000,
};
/** Response lengths in tokens. */
const RESPONSE_TOKENS: LogNormalParameters = { median: 55, sigma: 0.7, least: 4, greatest: 300 };

/** Mean time for which a response of `RESPONSE_TOKENS` holds a slot of an engine with 8 slots. */
const MEAN_SLOT_MS = 2500;

/**
 * Load of each entry VM relative to that of the one before it; less than 1, because callers are not
 * spread evenly.
 */
const VM_WEIGHT_DECAY = 0.8;

export interface Arrival {
  at: number;
  /** Index of the entry VM. */
  entryVm: number;
  requestId: string;
  messages: Message[];
  maxTokens: number;
}

export interface Burst {
  index: number;
  from: number;
  to: number;
}

export interface OnlineLoad {
  arrivals: Arrival[];
  bursts: Burst[];
}

/** A period with a constant rate, which starts with a burst if `burst` is set. */
interface Phase {
  durationMs: number;
  /** Share of all slots that are busy at this rate. */
  utilization: number;
  burst?: { slotShare: number; spreadMs: number };
}

export enum ArrivalSpacing {
  Poisson = 'poisson',
  /** One arrival at a random time within each mean interval. */
  Even = 'even',
}

export interface LoadShape {
  spacing: ArrivalSpacing;
  /** Draws the next phases of the load, in order. */
  drawPhases: (random: Random) => Phase[];
  /** Number of groups of requests that share a prompt prefix. */
  prefixGroups: number;
  /** Length of a shared prompt prefix in characters. */
  prefixCharacters: number;
  responseTokens: LogNormalParameters;
  /** Mean time for which a response holds a slot; converts a utilization into a rate. */
  meanSlotMs: number;
}

export interface OnlineLoadOptions {
  seed: number;
  durationMs: number;
  slots: number;
  entryVms: number;
  shape: LoadShape;
}

/**
 * Rates change every 2 to 5 s; a nearly idle phase is followed by a burst that takes most slots.
 */
const drawVariableRatePhases = (random: Random): Phase[] => {
  if (random.next() < 0.6) {
    return [
      { durationMs: drawUniform(random, 2000, 5000), utilization: drawUniform(random, 0.1, 0.6) },
    ];
  }
  return [
    { durationMs: drawUniform(random, 3000, 5000), utilization: 0.02 },
    {
      durationMs: drawUniform(random, 2000, 4000),
      utilization: drawUniform(random, 0.05, 0.25),
      burst: { slotShare: drawUniform(random, 0.6, 0.85), spreadMs: drawUniform(random, 20, 90) },
    },
  ];
};

export const VARIABLE_RATE_SHAPE: LoadShape = {
  spacing: ArrivalSpacing.Poisson,
  drawPhases: drawVariableRatePhases,
  prefixGroups: 12,
  prefixCharacters: 1024,
  responseTokens: RESPONSE_TOKENS,
  meanSlotMs: MEAN_SLOT_MS,
};

/**
 * The prefixes fill the caches of about two workers; the prefill of each takes a third of a second.
 */
export const SHARED_PREFIX_SHAPE: LoadShape = {
  ...VARIABLE_RATE_SHAPE,
  prefixGroups: 60,
  prefixCharacters: 6000,
};

/** Creates a constant rate that keeps a share of the slots busy. */
export const createSteadyShape = (utilization: number): LoadShape => ({
  ...VARIABLE_RATE_SHAPE,
  drawPhases: () => [{ durationMs: 1000, utilization }],
});

class LoadBuilder {
  readonly load: OnlineLoad = { arrivals: [], bursts: [] };

  private readonly random: Random;

  private readonly prefixes: string[];

  private now = 0;

  constructor(private readonly options: OnlineLoadOptions) {
    this.random = createRandomStream(options.seed, 'online-load');
    const { prefixGroups, prefixCharacters } = options.shape;
    this.prefixes = Array.from({ length: prefixGroups }, () =>
      createText(this.random, prefixCharacters),
    );
  }

  build(): OnlineLoad {
    const { shape, durationMs } = this.options;
    while (this.now < durationMs) {
      for (const phase of shape.drawPhases(this.random)) this.addPhase(phase);
    }
    const { arrivals, bursts } = this.load;
    return {
      arrivals: arrivals.filter(({ at }) => at < durationMs).toSorted((a, b) => a.at - b.at),
      bursts: bursts.filter(({ to }) => to < durationMs),
    };
  }

  private addPhase({ durationMs, utilization, burst }: Phase): void {
    const start = this.now;
    if (burst !== undefined) this.addBurst(burst.slotShare, burst.spreadMs);
    const meanGapMs = this.options.shape.meanSlotMs / (utilization * this.options.slots);
    this.drawArrivalTimes(start, start + durationMs, meanGapMs).forEach((at) =>
      this.addArrival(at),
    );
    this.now = start + durationMs;
  }

  private drawArrivalTimes(from: number, to: number, meanGapMs: number): number[] {
    const { random } = this;
    const times: number[] = [];
    if (this.options.shape.spacing === ArrivalSpacing.Even) {
      for (let gap = from; gap < to; gap += meanGapMs) times.push(gap + meanGapMs * random.next());
      return times;
    }
    let at = from + drawExponential(random, meanGapMs);
    for (; at < to; at += drawExponential(random, meanGapMs)) times.push(at);
    return times;
  }

  private addBurst(slotShare: number, spreadMs: number): void {
    const count = Math.round(slotShare * this.options.slots);
    const index = this.load.bursts.length;
    const times = Array.from({ length: count }, () => this.now + spreadMs * this.random.next());
    times.forEach((at) => this.addArrival(at, index));
    this.load.bursts.push({ index, from: Math.min(...times), to: Math.max(...times) });
  }

  private addArrival(at: number, burst?: number): void {
    const { random } = this;
    const characters = Math.round(drawLogNormal(random, PROMPT_CHARACTERS));
    const index = this.load.arrivals.length;
    this.load.arrivals.push({
      at,
      entryVm: this.drawEntryVm(),
      requestId: createOnlineRequestId(index, burst),
      messages: [
        { role: 'system', content: random.pick(this.prefixes) },
        { role: 'user', content: `${index} ${createText(random, characters)}` },
      ],
      maxTokens: Math.round(drawLogNormal(random, this.options.shape.responseTokens)),
    });
  }

  private drawEntryVm(): number {
    const { entryVms } = this.options;
    let total = 0;
    for (let index = 0; index < entryVms; index += 1) total += VM_WEIGHT_DECAY ** index;
    let remaining = this.random.next() * total;
    for (let index = 0; index < entryVms; index += 1) {
      remaining -= VM_WEIGHT_DECAY ** index;
      if (remaining < 0) return index;
    }
    return entryVms - 1;
  }
}

/** Creates the arrivals of a run; equal options give equal arrivals. */
export const createOnlineLoad = (options: OnlineLoadOptions): OnlineLoad =>
  new LoadBuilder(options).build();
