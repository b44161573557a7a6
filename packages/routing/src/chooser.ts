/** Choice of a worker among candidates; pure, so that a bench can compare choosers. */
import type { WorkerLoad } from '@jujubelanding/interfaces';
import type { Random } from '@jujubelanding/random';

export interface Candidate {
  workerId: string;
  availabilityZone: string;
  load: WorkerLoad;
  /** Online requests in the last report, without own corrections. */
  reportedOnline: number;
  /** Leading prompt segments that the worker probably has in its prefix cache. */
  prefixMatch: number;
  /** Share of traffic that the worker may get: 0 when ejected, 1 when healthy. */
  trafficShare: number;
}

export enum ChoiceReason {
  Only = 'only-candidate',
  LeastLoad = 'least-load',
  TwoChoices = 'power-of-two',
  Spillover = 'zone-spillover',
  Prefix = 'prefix-affinity',
  Random = 'random',
  LeastReported = 'least-reported',
}

/** A candidate with the load by which it was compared, in slots per slot. */
export interface ScoredCandidate {
  workerId: string;
  score: number;
}

export interface Choice {
  workerId: string;
  reason: ChoiceReason;
  compared: ScoredCandidate[];
}

export interface ChoiceContext {
  availabilityZone: string;
  random: Random;
}

/** Returns undefined only for an empty list. */
export type Chooser = (
  candidates: readonly Candidate[],
  context: ChoiceContext,
) => Choice | undefined;

export interface ChooserSettings {
  /** Up to this many candidates are all compared. */
  fullScanLimit: number;
  /** Added to the score of a worker without a free slot, where a request would wait in a queue. */
  queuePenalty: number;
  /** Added to the score of a worker whose last free slots others may take at the same time. */
  lastSlotsPenalty: number;
  /** Share of the slots that counts as the last free ones, at least one slot. */
  lastSlotsShare: number;
  /** Utilization by which a worker in another zone must be better. */
  zoneSpilloverThreshold: number;
  /** Utilization by which a worker with a cached prefix may be worse. */
  maxPrefixSkew: number;
  /** Weight of a batch item relative to an online request. */
  batchWeight: number;
  /** Loads older than this say nothing about the worker. */
  maxLoadAgeMs: number;
}

export const DEFAULT_CHOOSER_SETTINGS: ChooserSettings = {
  // Estimates are corrected within milliseconds, so comparing all is accurate. In a large set all
  // entry VMs would send to the same least loaded worker; two choices avoid that. A limit of 16 left
  // free slots unseen among 24 engines at the design load.
  fullScanLimit: 64,
  // Larger than the spillover bound, so that a free slot in another zone goes before a local queue.
  queuePenalty: 1,
  // With 0.3 online load was spread so far that batch used 0.8998 of the idle slots on one seed.
  lastSlotsPenalty: 0.2,
  lastSlotsShare: 0.125,
  zoneSpilloverThreshold: 0.25,
  maxPrefixSkew: 0.25,
  // Batch yields to online, so it counts only as a tie-breaker that saves preemptions.
  batchWeight: 0.1,
  maxLoadAgeMs: 3000,
};

interface Scored {
  candidate: Candidate;
  utilization: number;
  /** Utilization plus the spillover bound for other zones. */
  score: number;
}

const computeUtilization = (load: WorkerLoad, batchWeight: number): number =>
  (load.online + 1 + batchWeight * load.batch) / Math.max(1, load.slots);

/** Largest load assumed of a worker without fresh load; when all known ones are full, it is tried. */
const MAX_ASSUMED_UTILIZATION = 0.75;

/** Penalty for the risk of waiting in a queue. */
const computeQueueingPenalty = (
  { slots, online }: WorkerLoad,
  settings: ChooserSettings,
): number => {
  if (online >= slots) return settings.queuePenalty;
  const lastSlots = Math.max(1, Math.floor(slots * settings.lastSlotsShare));
  return slots - online <= lastSlots ? settings.lastSlotsPenalty : 0;
};

/** A worker without fresh load is taken to be as loaded as the others on average. */
const scoreAll = (
  candidates: readonly Candidate[],
  zone: string,
  settings: ChooserSettings,
): Scored[] => {
  const isFresh = (candidate: Candidate): boolean => candidate.load.ageMs <= settings.maxLoadAgeMs;
  const fresh = candidates.filter(isFresh);
  const sum = fresh.reduce(
    (total, { load }) => total + computeUtilization(load, settings.batchWeight),
    0,
  );
  const mean = fresh.length === 0 ? 0 : sum / fresh.length;
  const assumed = Math.min(mean, MAX_ASSUMED_UTILIZATION);
  return candidates.map((candidate) => {
    const measured = computeUtilization(candidate.load, settings.batchWeight);
    const utilization = isFresh(candidate) ? measured : Math.max(assumed, measured);
    const zonePenalty = candidate.availabilityZone === zone ? 0 : settings.zoneSpilloverThreshold;
    const queueingPenalty = computeQueueingPenalty(candidate.load, settings);
    return { candidate, utilization, score: utilization + zonePenalty + queueingPenalty };
  });
};

/** Returns a candidate with the least score; equal ones are equally likely. */
const findLeastLoaded = (scored: readonly Scored[], random: Random): Scored => {
  const least = Math.min(...scored.map(({ score }) => score));
  return random.pick(scored.filter(({ score }) => score === least));
};

/** The worker with the longest cached prefix whose load is within the skew of the best one. */
const findByCachedPrefix = (
  scored: readonly Scored[],
  least: Scored,
  settings: ChooserSettings,
): Scored | undefined =>
  scored
    .filter(
      ({ candidate, score }) =>
        candidate.prefixMatch > least.candidate.prefixMatch &&
        score <= least.score + settings.maxPrefixSkew &&
        candidate.load.online < candidate.load.slots,
    )
    .toSorted((a, b) => b.candidate.prefixMatch - a.candidate.prefixMatch || a.score - b.score)[0];

/** Lets workers that are being reinstated take part with their share of choices. */
const filterAdmitted = (candidates: readonly Candidate[], random: Random): readonly Candidate[] => {
  const admitted = candidates.filter(
    ({ trafficShare: admission }) => admission >= 1 || (admission > 0 && random.next() < admission),
  );
  if (admitted.length > 0) return admitted;
  const reinstated = candidates.filter(({ trafficShare: admission }) => admission > 0);
  return reinstated.length > 0 ? reinstated : candidates;
};

/** Two candidates of the own zone where there are that many, else of all. */
const sampleTwo = (scored: readonly Scored[], zone: string, random: Random): readonly Scored[] => {
  const local = scored.filter(({ candidate }) => candidate.availabilityZone === zone);
  if (local.length < 2) return random.sample(scored, 2);
  const remote = scored.filter(({ candidate }) => candidate.availabilityZone !== zone);
  return [...random.sample(local, 2), ...random.sample(remote, 1)];
};

const determineReason = (
  chosen: Scored,
  compared: readonly Scored[],
  isFullScan: boolean,
  zone: string,
) => {
  const isLocal = chosen.candidate.availabilityZone === zone;
  const hasLocal = compared.some(({ candidate }) => candidate.availabilityZone === zone);
  if (!isLocal && hasLocal) return ChoiceReason.Spillover;
  return isFullScan ? ChoiceReason.LeastLoad : ChoiceReason.TwoChoices;
};

const toScoredCandidates = (scored: readonly Scored[]): ScoredCandidate[] =>
  scored.map(({ candidate, score }) => ({
    workerId: candidate.workerId,
    score: Math.round(score * 1000) / 1000,
  }));

/** Chooses by estimated load, availability zone and prefix cache. */
export const createLoadAwareChooser =
  (settings: ChooserSettings = DEFAULT_CHOOSER_SETTINGS): Chooser =>
  (candidates, { availabilityZone, random }) => {
    if (candidates.length === 0) return undefined;
    const scored = scoreAll(filterAdmitted(candidates, random), availabilityZone, settings);
    const isFullScan = scored.length <= settings.fullScanLimit;
    const compared = isFullScan ? scored : sampleTwo(scored, availabilityZone, random);
    const least = findLeastLoaded(compared, random);
    const cached = findByCachedPrefix(scored, least, settings);
    const chosen = cached ?? least;
    const reason =
      cached === undefined
        ? determineReason(least, compared, isFullScan, availabilityZone)
        : ChoiceReason.Prefix;
    return {
      workerId: chosen.candidate.workerId,
      reason: candidates.length === 1 ? ChoiceReason.Only : reason,
      compared: toScoredCandidates(cached === undefined ? compared : [least, cached]),
    };
  };

/** Baseline: any candidate. */
export const createRandomChooser =
  (): Chooser =>
  (candidates, { random }) =>
    candidates.length === 0
      ? undefined
      : { workerId: random.pick(candidates).workerId, reason: ChoiceReason.Random, compared: [] };

/** Baseline: the candidate with the least reported load, without any correction. */
export const createLeastReportedChooser =
  (): Chooser =>
  (candidates, { random }) => {
    if (candidates.length === 0) return undefined;
    const scored = candidates.map((candidate) => ({
      candidate,
      utilization: 0,
      score: candidate.reportedOnline / Math.max(1, candidate.load.slots),
    }));
    return {
      workerId: findLeastLoaded(scored, random).candidate.workerId,
      reason: ChoiceReason.LeastReported,
      compared: toScoredCandidates(scored),
    };
  };
