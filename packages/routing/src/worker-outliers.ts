/** Comparison of the failure rate of a worker with that of the other workers of its service. */
import type { Counts } from './result-window.js';

/** Failure rate up to which a worker is not suspected; one failure of 50 has no meaning. */
const MIN_USUAL_RATE = 0.02;

/** Failure rate of the other workers above which the cause is not the worker, and none is suspected. */
const MAX_USUAL_RATE = 0.2;

/** Excess over the usual rate that is ignored; with many results, any difference is significant. */
const MIN_EXCESS_RATE = 0.05;

/** Mean results per worker below which the rates of single workers are noise. */
const MIN_MEAN_RESULTS = 3;

/**
 * Share of the service's mean results per worker that a worker in use has at least. When it begins to fail,
 * its successes at other VMs arrive later than the failure.
 */
const MIN_RESULTS_SHARE = 0.5;

/** Evidence above which the weight of a worker falls; two failures of 14 results stay below it. */
const SUSPICION_EVIDENCE = 3;

/** Evidence with which a worker is ejected; chance exceeds it in less than 1 of 90 cases (e^-4.5). */
export const EJECTION_EVIDENCE = 4.5;

/** Weight of a worker that is not ejected, however many of its requests fail. */
export const MIN_WEIGHT = 0.1;

const computeRate = ({ successes, failures }: Counts): number =>
  failures === 0 ? 0 : failures / (successes + failures);

/**
 * Returns the median of the failure rates of a service's workers; the lower of two middle values, so that
 * half of the workers are not most of them.
 */
export const computeMedianRate = (workers: readonly Counts[]): number =>
  workers.map(computeRate).toSorted((a, b) => a - b)[Math.floor((workers.length - 1) / 2)] ?? 0;

export interface ServiceCounts {
  workerCount: number;
  medianRate: number;
  total: Counts;
}

/**
 * Returns the failure rate that the worker is compared with. The median ignores faults of single workers;
 * with few results per worker it is 0 even if all requests fail alike, so the rate over all others is used.
 */
export const computeUsualRate = (worker: Counts, service: ServiceCounts): number => {
  const { total, workerCount, medianRate } = service;
  const results = total.successes + total.failures;
  if (results >= MIN_MEAN_RESULTS * workerCount) return medianRate;
  return computeRate({
    successes: Math.max(0, total.successes - worker.successes),
    failures: Math.max(0, total.failures - worker.failures),
  });
};

/** Returns the number of results that a worker in use has had, even if not all are known yet. */
export const estimateResults = ({ total, workerCount }: ServiceCounts): number =>
  (MIN_RESULTS_SHARE * (total.successes + total.failures)) / workerCount;

/**
 * Returns how strongly the counts speak for a failure rate above the usual one: the logarithm of the
 * likelihood ratio of the observed to the usual rate (Chernoff bound of a binomial distribution); 0 if the
 * rate is not above it.
 */
export const computeEvidence = (
  { successes, failures }: Counts,
  usualRate: number,
  minResults = 0,
): number => {
  const results = Math.max(successes + failures, minResults);
  const rate = results === 0 ? 0 : failures / results;
  const usual = Math.max(MIN_USUAL_RATE, usualRate);
  if (usual > MAX_USUAL_RATE || rate < usual + MIN_EXCESS_RATE) return 0;
  const failureTerm = rate * Math.log(rate / usual);
  const successTerm = rate === 1 ? 0 : (1 - rate) * Math.log((1 - rate) / (1 - usual));
  return results * (failureTerm + successTerm);
};

/** Returns the weight of a worker that is not ejected. */
export const computeWeight = (evidence: number): number => {
  const excess = (evidence - SUSPICION_EVIDENCE) / (EJECTION_EVIDENCE - SUSPICION_EVIDENCE);
  return Math.min(1, Math.max(MIN_WEIGHT, 1 - excess));
};
