/** Weights of workers by the results of their requests, compared with the other workers of the service. */
import type { FleetResults } from '@jujubelanding/interfaces';
import type { Counts, ResultWindow } from './result-window.js';
import {
  computeEvidence,
  computeMedianRate,
  computeUsualRate,
  estimateResults,
} from './worker-outliers.js';
import {
  advancePhase,
  HealthPhase,
  isUnsuspected,
  SERVING,
  STATE_RETENTION_MS,
  type Rating,
  type WorkerState,
} from './worker-phase.js';

/** Largest share of a service's workers that is ejected at once. */
const MAX_EJECTED_SHARE = 0.34;

/** A change of a worker's phase, or of whether its weight is below 1, with the inputs. */
export interface HealthChange extends Rating {
  service: string;
  workerId: string;
  phase: HealthPhase;
  weight: number;
  /** Age of the counts of other VMs. */
  ageMs: number;
  ejectedWorkers: number;
  workers: number;
}

export interface ResultHealthOptions {
  window: ResultWindow;
  /** Reads the results of all VMs, including this one. */
  readFleet: () => FleetResults;
  /** Lists the ids of the workers of each service. */
  listServices: () => ReadonlyMap<string, readonly string[]>;
  onChange: (change: HealthChange) => void;
}

interface FleetCounts {
  workers: ReadonlyMap<string, Counts>;
  services: ReadonlyMap<string, Counts>;
  ageMs: number;
}

type ServiceRating = Omit<HealthChange, 'phase' | 'weight' | 'ejectedWorkers' | 'workers'>;

const NO_RESULTS: Counts = { successes: 0, failures: 0 };

const toMap = (counts: FleetResults['workers']): ReadonlyMap<string, Counts> =>
  new Map(counts.map(([id, successes, failures]) => [id, { successes, failures }]));

/** Health of all workers by the results that all VMs share. */
export class ResultHealth {
  private readonly states = new Map<string, WorkerState>();

  private readonly window: ResultWindow;

  constructor(private readonly options: ResultHealthOptions) {
    this.window = options.window;
  }

  record(service: string, workerId: string, isFailure: boolean): void {
    this.window.record(service, workerId, isFailure);
  }

  retractFailure(service: string, workerId: string, recordedAt: number): void {
    this.window.retractFailure(service, workerId, recordedAt);
  }

  /** Returns the worker's share of traffic, from 0 while ejected to 1. */
  weight(workerId: string): number {
    return this.states.get(workerId)?.weight ?? 1;
  }

  /** Returns whether the worker must not get requests that may run only once. */
  isOnProbation(workerId: string): boolean {
    const phase = this.states.get(workerId)?.phase;
    return phase === HealthPhase.Ejected || phase === HealthPhase.Probation;
  }

  /** Lists the workers that are ejected or on probation. */
  listOnProbation(): string[] {
    return [...this.states.keys()].filter((id) => this.isOnProbation(id));
  }

  /** Returns whether nothing is known against the worker. */
  isProven(workerId: string): boolean {
    const state = this.states.get(workerId);
    if (state === undefined || state.phase === HealthPhase.Proving) return true;
    return state.phase === HealthPhase.Serving && state.weight === 1;
  }

  /** Compares the workers of all services; call it at least every 100 ms. */
  update(now: number): void {
    const { workers, services, ageMs } = this.options.readFleet();
    if (workers.length === 0 && this.states.size === 0) return;
    const fleet = { workers: toMap(workers), services: toMap(services), ageMs };
    this.options
      .listServices()
      .forEach((workerIds, service) => this.updateService(service, workerIds, fleet, now));
    this.forgetOld(now);
  }

  private updateService(
    service: string,
    workerIds: readonly string[],
    fleet: FleetCounts,
    now: number,
  ): void {
    const countsOf = (id: string): Counts => fleet.workers.get(id) ?? NO_RESULTS;
    const serviceCounts = {
      workerCount: workerIds.length,
      medianRate: computeMedianRate(workerIds.map(countsOf)),
      total: fleet.services.get(service) ?? NO_RESULTS,
    };
    const rated = workerIds
      .filter((id) => fleet.workers.has(id) || this.states.has(id))
      .map((workerId) => {
        const counts = countsOf(workerId);
        const usualRate = computeUsualRate(counts, serviceCounts);
        const evidence = computeEvidence(counts, usualRate, estimateResults(serviceCounts));
        return { service, workerId, ...counts, usualRate, evidence, ageMs: fleet.ageMs };
      })
      .toSorted((a, b) => b.evidence - a.evidence);
    rated.forEach((rating) => this.updateWorker(rating, workerIds, now));
  }

  private updateWorker(rating: ServiceRating, workerIds: readonly string[], now: number): void {
    const { workerId } = rating;
    const ejectedWorkers = workerIds.filter((id) => this.weight(id) === 0).length;
    const workers = workerIds.length;
    const canEject = (ejectedWorkers + 1) / workers <= MAX_EJECTED_SHARE;
    const before = this.states.get(workerId) ?? SERVING;
    const state = advancePhase({ state: before, rating, canEject, now });
    if (isUnsuspected(state)) this.states.delete(workerId);
    else this.states.set(workerId, state);
    const { phase, weight } = state;
    if (phase === before.phase && weight < 1 === before.weight < 1) return;
    this.options.onChange({ ...rating, phase, weight, ejectedWorkers, workers });
  }

  /**
   * Forgets workers that have not been listed for longer than a probation takes. Until then a worker that
   * crashes again and again stays on probation, also while it is not listed.
   */
  private forgetOld(now: number): void {
    const listed = new Set([...this.options.listServices().values()].flat());
    for (const [id, { since }] of this.states) {
      if (!listed.has(id) && now - since > STATE_RETENTION_MS) this.states.delete(id);
    }
  }
}
