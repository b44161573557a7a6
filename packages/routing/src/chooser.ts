/** Worker selection among candidates. Pure functions, so that a benchmark can compare choosers. */
import type { WorkerLoad } from '@jujubelanding/interfaces';
import type { Random } from '@jujubelanding/random';
import type { WorkerSpeed } from '@jujubelanding/worker-speed';

export interface Candidate {
  workerId: string;
  availabilityZone: string;
  load: WorkerLoad;
  /** Online requests in the last report, not corrected by requests sent since. */
  reportedOnline: number;
  /** Number of leading prompt segments that the worker probably has in its prefix cache. */
  prefixMatch: number;
  /** Share of traffic that the worker may receive: 0 while ejected, 1 when healthy. */
  trafficShare: number;
  /** Expected speed; absent for all workers of a service that does not report it. */
  speed?: WorkerSpeed | undefined;
}

export enum ChoiceReason {
  OnlyCandidate = 'only-candidate',
  LeastLoad = 'least-load',
  PowerOfTwo = 'power-of-two',
  ZoneSpillover = 'zone-spillover',
  PrefixAffinity = 'prefix-affinity',
  Random = 'random',
  LeastReported = 'least-reported',
}

/** Score of a compared worker: load as a fraction of its slots, plus any penalties. */
export interface WorkerScore {
  workerId: string;
  score: number;
  speed?: WorkerSpeed | undefined;
}

export interface Choice {
  workerId: string;
  reason: ChoiceReason;
  compared: WorkerScore[];
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
  /** Up to this many candidates, all are compared; above it, a random sample is. */
  fullScanLimit: number;
  /** Added to the score of a worker without a free slot, where a request would queue. */
  queuePenalty: number;
  /** Added to the score of a worker whose last free slots other VMs may take at the same time. */
  lastSlotsPenalty: number;
  /** Share of the slots that counts as the last free slots; at least one slot. */
  lastSlotsShare: number;
  /** Added to the score of a worker in another zone: its required utilization advantage. */
  zoneSpilloverThreshold: number;
  /** Largest difference to the lowest score at which a worker with a cached prefix is preferred. */
  maxPrefixSkew: number;
  /** Weight of a batch item relative to an online request. */
  batchWeight: number;
  /** Loads older than this are treated as unknown. */
  maxLoadAgeMs: number;
  /**
   * Time that a request takes on a worker without load, as a fraction of the time that it takes on a worker
   * with work on all slots; the rest is the time that it waits or may have to wait.
   */
  workShare: number;
}

export const DEFAULT_CHOOSER_SETTINGS: ChooserSettings = {
  // Estimates are corrected within milliseconds, so a full comparison is accurate. In a large set
  // it would make all entry VMs pick the same least loaded worker; the power of two choices avoids
  // that.
  // With a limit of 16, free slots among 24 engines were missed at the design load.
  fullScanLimit: 64,
  // Above the spillover threshold, so that a free slot in another zone goes before a local queue.
  queuePenalty: 1,
  // With 0.3, online load was spread so widely that, with one seed, batch work used only 0.8998 of
  // the idle slots.
  lastSlotsPenalty: 0.2,
  lastSlotsShare: 0.125,
  zoneSpilloverThreshold: 0.25,
  maxPrefixSkew: 0.25,
  // Batch work yields to online requests, so it only breaks ties in favour of fewer preemptions.
  batchWeight: 0.1,
  maxLoadAgeMs: 3000,
  // With 0.5 answers are 2% shorter, but the busiest workers get 1.17 times the mean work in a wave.
  workShare: 0.25,
};

/** A candidate with its utilization as a fraction of its slots, and its score. */
interface ScoredCandidate {
  candidate: Candidate;
  utilization: number;
  /** Utilization plus the penalties for another zone and for queueing; lower is better. */
  score: number;
}

const computeUtilization = (load: WorkerLoad, batchWeight: number): number =>
  (load.online + 1 + batchWeight * load.batch) / Math.max(1, load.slots);

/**
 * Upper bound of the utilization assumed for a worker without fresh load, so that it is tried when
 * all workers with known load are full.
 */
const MAX_ASSUMED_UTILIZATION = 0.75;

/** Penalty for the risk that a request has to queue. */
const computeQueueingPenalty = (
  { slots, online }: WorkerLoad,
  settings: ChooserSettings,
): number => {
  if (online >= slots) return settings.queuePenalty;
  const lastSlots = Math.max(1, Math.floor(slots * settings.lastSlotsShare));
  return slots - online <= lastSlots ? settings.lastSlotsPenalty : 0;
};

/**
 * Returns the expected time of a request, as the difference to the time on an idle worker of usual speed.
 * Both the work of the request and the work before it take longer on a slow worker. At the usual speed
 * this is the load, so that thresholds have the same meaning for services that report no speed.
 */
const computeExpectedTime = (load: number, speed: WorkerSpeed, { workShare }: ChooserSettings) =>
  speed.slowdown * (workShare + load) - workShare;

/**
 * Scores all candidates. A worker without fresh load is assumed to have the mean load of the
 * others.
 */
const scoreAll = (
  candidates: readonly Candidate[],
  zone: string,
  settings: ChooserSettings,
): ScoredCandidate[] => {
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
    const { speed } = candidate;
    if (speed === undefined) {
      return { candidate, utilization, score: utilization + zonePenalty + queueingPenalty };
    }
    const expected = computeExpectedTime(utilization + queueingPenalty, speed, settings);
    return { candidate, utilization, score: expected + zonePenalty };
  });
};

/** Returns a candidate with the lowest score; ties are broken at random. */
const findLeastLoaded = (scored: readonly ScoredCandidate[], random: Random): ScoredCandidate => {
  const least = Math.min(...scored.map(({ score }) => score));
  return random.pick(scored.filter(({ score }) => score === least));
};

/**
 * Returns the worker with the longest cached prefix among those with a free slot and a score within
 * `maxPrefixSkew` of the least loaded one.
 */
const findByCachedPrefix = (
  scored: readonly ScoredCandidate[],
  least: ScoredCandidate,
  settings: ChooserSettings,
): ScoredCandidate | undefined =>
  scored
    .filter(
      ({ candidate, score }) =>
        candidate.prefixMatch > least.candidate.prefixMatch &&
        score <= least.score + settings.maxPrefixSkew &&
        candidate.load.online < candidate.load.slots,
    )
    .toSorted((a, b) => b.candidate.prefixMatch - a.candidate.prefixMatch || a.score - b.score)[0];

/**
 * Drops ejected workers, and admits workers under reinstatement at random according to their share
 * of traffic. Never returns an empty list for a non-empty one.
 */
const filterAdmitted = (candidates: readonly Candidate[], random: Random): readonly Candidate[] => {
  const admitted = candidates.filter(
    ({ trafficShare }) => trafficShare >= 1 || (trafficShare > 0 && random.next() < trafficShare),
  );
  if (admitted.length > 0) return admitted;
  const reinstated = candidates.filter(({ trafficShare }) => trafficShare > 0);
  return reinstated.length > 0 ? reinstated : candidates;
};

/**
 * Samples two local candidates and a remote one, or any two if there are fewer than two local ones.
 */
const sampleCandidates = (
  scored: readonly ScoredCandidate[],
  zone: string,
  random: Random,
): readonly ScoredCandidate[] => {
  const local = scored.filter(({ candidate }) => candidate.availabilityZone === zone);
  if (local.length < 2) return random.sample(scored, 2);
  const remote = scored.filter(({ candidate }) => candidate.availabilityZone !== zone);
  return [...random.sample(local, 2), ...random.sample(remote, 1)];
};

const determineReason = (
  chosen: ScoredCandidate,
  compared: readonly ScoredCandidate[],
  isFullScan: boolean,
  zone: string,
) => {
  const isLocal = chosen.candidate.availabilityZone === zone;
  const hasLocal = compared.some(({ candidate }) => candidate.availabilityZone === zone);
  if (!isLocal && hasLocal) return ChoiceReason.ZoneSpillover;
  return isFullScan ? ChoiceReason.LeastLoad : ChoiceReason.PowerOfTwo;
};

const toWorkerScores = (scored: readonly ScoredCandidate[]): WorkerScore[] =>
  scored.map(({ candidate, score }) => ({
    workerId: candidate.workerId,
    score: Math.round(score * 1000) / 1000,
    ...(candidate.speed === undefined ? {} : { speed: candidate.speed }),
  }));

/** Creates a chooser that ranks by estimated load, availability zone and cached prefixes. */
export const createLoadAwareChooser =
  (settings: ChooserSettings = DEFAULT_CHOOSER_SETTINGS): Chooser =>
  (candidates, { availabilityZone, random }) => {
    if (candidates.length === 0) return undefined;
    const scored = scoreAll(filterAdmitted(candidates, random), availabilityZone, settings);
    const isFullScan = scored.length <= settings.fullScanLimit;
    const compared = isFullScan ? scored : sampleCandidates(scored, availabilityZone, random);
    const least = findLeastLoaded(compared, random);
    const cached = findByCachedPrefix(scored, least, settings);
    const chosen = cached ?? least;
    const reason =
      cached === undefined
        ? determineReason(least, compared, isFullScan, availabilityZone)
        : ChoiceReason.PrefixAffinity;
    return {
      workerId: chosen.candidate.workerId,
      reason: candidates.length === 1 ? ChoiceReason.OnlyCandidate : reason,
      compared: toWorkerScores(cached === undefined ? compared : [least, cached]),
    };
  };

/** Baseline: a random candidate. */
export const createRandomChooser =
  (): Chooser =>
  (candidates, { random }) =>
    candidates.length === 0
      ? undefined
      : { workerId: random.pick(candidates).workerId, reason: ChoiceReason.Random, compared: [] };

/** Baseline: the candidate with the least reported load, uncorrected. */
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
      compared: toWorkerScores(scored),
    };
  };
