/** Phases of a worker that is ejected for its results, and the rules for moving between them. Pure. */
import { computeDecay, type Counts } from './result-window.js';
import {
  computeEvidence,
  computeWeight,
  EJECTION_EVIDENCE,
  MIN_WEIGHT,
} from './worker-outliers.js';

/** A single failure never ejects a worker in use. */
const MIN_FAILURES_TO_EJECT = 1.5;

/**
 * Time for which the evidence must hold before an ejection; the reduced weight takes effect at once. At the
 * start of a fault that hits most workers alike some fail first: with 400 ms, up to 9 of 62 were ejected.
 */
const CONFIRMATION_MS = 1000;

/** Time with a reduced weight after which a worker has to prove itself. */
const MIN_SUSPICION_MS = 400;

/**
 * Ejection, probation and the rise of the weight after it together stay below 10 s, so that a worker whose
 * fault has ended is fully used again within that time.
 */
const EJECTION_MS = 4000;

const PROBATION_MS = 3000;

/** Time after probation or suspicion in which little evidence is enough for an ejection. */
const PROVING_MS = 10_000;

/**
 * Evidence for another ejection, such as one failure of seven requests. If the other workers fail as well,
 * the usual evidence is needed, because single failures are no sign then.
 */
const EVIDENCE_TO_EJECT_AGAIN = 1;

/** Failure rate of the other workers up to which little evidence is enough. */
const MAX_USUAL_RATE_TO_EJECT_AGAIN = 0.05;

/** Successes on probation with which a worker gets all of its traffic afterwards. */
const MIN_SUCCESSES_TO_PROVE = 2;

/** Initial weight after suspicion, or after a probation without results. */
const UNPROVEN_WEIGHT = 0.05;

const UNPROVEN_RISE_MS = 2500;

/** One new failure is enough for another ejection; a smaller change results from the age of reports. */
const MIN_FAILURES_TO_EJECT_AGAIN = 0.5;

export enum HealthPhase {
  Serving = 'serving',
  Ejected = 'ejected',
  /** In use with few requests, none of which may run only once. */
  Probation = 'probation',
  /** In use for all requests, but ejected by less evidence than usual. */
  Proving = 'proving',
}

export interface WorkerState {
  phase: HealthPhase;
  weight: number;
  /** Time since which the evidence suffices for an ejection. */
  outlierSince: number | undefined;
  /** Time since which the evidence reduces the weight. */
  suspectedSince: number | undefined;
  /** Time at which the phase began. */
  since: number;
  /** Counts at the start of the phase, which do not reflect the state after it. */
  earlier: Counts;
  earlierAt: number;
  /** Weight at the start of the phase. */
  initialWeight: number;
}

/** The counts of a worker, compared with the other workers of its service. */
export interface Rating extends Counts {
  usualRate: number;
  evidence: number;
}

interface Step {
  state: WorkerState;
  rating: Rating;
  /** False if too many workers of the service are ejected. */
  canEject: boolean;
  now: number;
}

export const SERVING: WorkerState = {
  phase: HealthPhase.Serving,
  weight: 1,
  outlierSince: undefined,
  suspectedSince: undefined,
  since: 0,
  earlier: { successes: 0, failures: 0 },
  earlierAt: 0,
  initialWeight: 1,
};

const eject = (now: number): WorkerState => ({
  ...SERVING,
  phase: HealthPhase.Ejected,
  weight: 0,
  since: now,
});

/** Begins a phase in which only results from now on count. */
const beginPhase = (
  phase: HealthPhase,
  weight: number,
  { rating: { successes, failures }, now }: Step,
): WorkerState => ({
  ...SERVING,
  phase,
  weight,
  initialWeight: weight,
  since: now,
  earlier: { successes, failures },
  earlierAt: now,
});

/** Returns the counts without those from before `earlierAt`. */
const computeRecent = ({ state, rating, now }: Step): Counts => {
  const decay = computeDecay(now - state.earlierAt);
  return {
    successes: Math.max(0, rating.successes - state.earlier.successes * decay),
    failures: Math.max(0, rating.failures - state.earlier.failures * decay),
  };
};

const computeRecentEvidence = (recent: Counts, { usualRate }: Rating): number =>
  recent.failures < MIN_FAILURES_TO_EJECT_AGAIN ? 0 : computeEvidence(recent, usualRate);

const isFailingAgain = (evidence: number, { usualRate }: Rating): boolean => {
  const isUsual = usualRate > MAX_USUAL_RATE_TO_EJECT_AGAIN;
  return evidence >= (isUsual ? EJECTION_EVIDENCE : EVIDENCE_TO_EJECT_AGAIN);
};

const advanceServing = (step: Step): WorkerState => {
  const { state, rating, canEject, now } = step;
  const { evidence, failures } = rating;
  const holdsSince = (isHeld: boolean, since: number | undefined): number | undefined =>
    isHeld ? (since ?? now) : undefined;
  const hasHeld = (since: number | undefined, durationMs: number): boolean =>
    since !== undefined && now - since >= durationMs;
  const isOutlier = evidence >= EJECTION_EVIDENCE && failures >= MIN_FAILURES_TO_EJECT;
  const outlierSince = holdsSince(isOutlier, state.outlierSince);
  if (hasHeld(outlierSince, CONFIRMATION_MS) && canEject) return eject(now);
  const weight = computeWeight(evidence);
  if (weight === 1 && hasHeld(state.suspectedSince, MIN_SUSPICION_MS)) {
    return beginPhase(HealthPhase.Proving, UNPROVEN_WEIGHT, step);
  }
  const suspectedSince = holdsSince(weight < 1, state.suspectedSince);
  return { ...SERVING, weight, outlierSince, suspectedSince };
};

const advanceEjected = (step: Step): WorkerState =>
  step.now - step.state.since < EJECTION_MS
    ? step.state
    : beginPhase(HealthPhase.Probation, MIN_WEIGHT, step);

const advanceProbation = (step: Step): WorkerState => {
  const { state, rating, canEject, now } = step;
  const recent = computeRecent(step);
  const evidence = computeRecentEvidence(recent, rating);
  if (isFailingAgain(evidence, rating) && canEject) return eject(now);
  const ageMs = now - state.since;
  if (ageMs >= PROBATION_MS) {
    const weight = recent.successes >= MIN_SUCCESSES_TO_PROVE ? 1 : UNPROVEN_WEIGHT;
    return { ...state, phase: HealthPhase.Proving, weight, initialWeight: weight, since: now };
  }
  const risen = MIN_WEIGHT + ((1 - MIN_WEIGHT) * ageMs) / PROBATION_MS;
  return { ...state, weight: Math.min(risen, computeWeight(evidence)) };
};

const advanceProving = (step: Step): WorkerState => {
  const { state, rating, canEject, now } = step;
  const evidence = computeRecentEvidence(computeRecent(step), rating);
  if (isFailingAgain(evidence, rating) && canEject) return eject(now);
  const ageMs = now - state.since;
  if (ageMs >= PROVING_MS) return SERVING;
  const risen = state.initialWeight + ((1 - state.initialWeight) * ageMs) / UNPROVEN_RISE_MS;
  return { ...state, weight: Math.min(1, risen, computeWeight(evidence)) };
};

const STEPS: Record<HealthPhase, (step: Step) => WorkerState> = {
  [HealthPhase.Serving]: advanceServing,
  [HealthPhase.Ejected]: advanceEjected,
  [HealthPhase.Probation]: advanceProbation,
  [HealthPhase.Proving]: advanceProving,
};

/** Returns the next state of a worker. */
export const advancePhase = (step: Step): WorkerState => STEPS[step.state.phase](step);

/** Returns whether nothing is known against the worker, so that no state has to be kept. */
export const isUnsuspected = ({ phase, weight }: WorkerState): boolean =>
  phase === HealthPhase.Serving && weight === 1;

/** Time after which the state of a worker that is not listed any more has no meaning. */
export const STATE_RETENTION_MS = EJECTION_MS + PROBATION_MS + PROVING_MS;
