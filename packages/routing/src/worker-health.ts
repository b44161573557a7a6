/** Ejection of unhealthy workers and their gradual reinstatement. */
import type { ResultHealth } from './result-health.js';

/** Consecutive faults after which a worker is ejected. */
const CONSECUTIVE_FAULTS_TO_EJECT = 3;

const BASE_EJECTION_MS = 5000;

const MAX_EJECTION_MS = 60_000;

/** Time over which the share of traffic grows from its initial value to 1. */
const REINSTATEMENT_MS = 10_000;

const INITIAL_REINSTATEMENT_SHARE = 0.1;

/** After this long since the end of an ejection, a success resets the duration of the next one. */
const EJECTION_RESET_MS = 60_000;

/** Number of recent latency samples kept per worker. */
const MAX_LATENCY_SAMPLES = 5;

/** Samples needed for an ejection; with the lower median, three of them have to be slow. */
const MIN_LATENCY_SAMPLES = 4;

/** Ratio of a worker's latency to the median of its service above which it is ejected. */
const LATENCY_FACTOR = 3;

/** Latency below this never ejects a worker; on fast workers a factor of 3 is noise. */
const MIN_EJECTION_LATENCY_MS = 200;

/** Largest share of a service's workers that may be ejected for latency or first-token timeouts. */
const MAX_EJECTED_SHARE = 0.34;

/** Number of most recent samples within which a slowdown is detected. */
const RECENT_SAMPLES = 3;

interface Sample {
  latencyMs: number;
  at: number;
}

interface HealthState {
  service: string;
  consecutiveFaults: number;
  ejections: number;
  ejectedUntil: number;
  /** Recent first-token latencies or response times, oldest first. */
  samples: Sample[];
  /** Time of the last answer or first token. */
  lastResponseAt: number;
}

const median = (values: readonly number[]): number =>
  values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/**
 * Median that takes the lower of two middle values, so that one slow sample of two does not count.
 */
const lowerMedian = (values: readonly number[]): number =>
  values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 0;

/**
 * Health of all workers as observed by this VM. Callers pass in the time. With `results`, only the results
 * that all VMs share decide: then neither slow answers nor consecutive faults at this VM eject a worker.
 */
export class WorkerHealth {
  private readonly states = new Map<string, HealthState>();

  constructor(private readonly results?: ResultHealth) {}

  /** Returns the worker's share of traffic: 0 while ejected, then growing to 1. */
  trafficShare(workerId: string, now: number): number {
    if (this.results !== undefined) return this.results.weight(workerId);
    const state = this.states.get(workerId);
    if (state === undefined || state.ejections === 0) return 1;
    if (now < state.ejectedUntil) return 0;
    const progress = (now - state.ejectedUntil) / REINSTATEMENT_MS;
    return Math.min(1, INITIAL_REINSTATEMENT_SHARE + (1 - INITIAL_REINSTATEMENT_SHARE) * progress);
  }

  /**
   * Records a complete answer, which resets the count of consecutive faults; `isFailure` for a status 5xx.
   */
  recordSuccess(service: string, workerId: string, now: number, isFailure = false): void {
    if (this.results !== undefined) {
      this.results.record(service, workerId, isFailure);
      return;
    }
    const state = this.findOrCreate(service, workerId);
    state.consecutiveFaults = 0;
    state.lastResponseAt = now;
    if (state.ejections > 0 && now - state.ejectedUntil > EJECTION_RESET_MS) state.ejections = 0;
  }

  /** Records a first-token latency or response time; returns true if it ejects the worker. */
  recordLatency(service: string, workerId: string, latencyMs: number, now: number): boolean {
    if (this.results !== undefined) return false;
    const state = this.findOrCreate(service, workerId);
    state.lastResponseAt = now;
    // Requests sent before the ejection do not reflect the worker's state after it.
    if (now < state.ejectedUntil) return false;
    state.samples.push({ latencyMs, at: now });
    if (state.samples.length > MAX_LATENCY_SAMPLES) state.samples.shift();
    if (!this.isSlow(service, state, now)) return false;
    this.eject(state, now);
    return true;
  }

  /** Records a fault; returns true if it ejects the worker. */
  recordFault(service: string, workerId: string, now: number): boolean {
    if (this.results !== undefined) {
      this.results.record(service, workerId, true);
      return false;
    }
    const state = this.findOrCreate(service, workerId);
    state.consecutiveFaults += 1;
    const isReinstating = state.ejections > 0 && this.trafficShare(workerId, now) < 1;
    if (now < state.ejectedUntil) return false;
    if (state.consecutiveFaults < CONSECUTIVE_FAULTS_TO_EJECT && !isReinstating) return false;
    this.eject(state, now);
    return true;
  }

  /**
   * Records that a request got no first token within the timeout; returns true if that ejects the
   * worker. A worker that answered another request meanwhile is slow rather than unreachable.
   */
  recordFirstTokenTimeout(service: string, workerId: string, sentAt: number, now: number): boolean {
    if (this.results !== undefined) {
      this.results.record(service, workerId, true);
      return false;
    }
    const state = this.findOrCreate(service, workerId);
    if (now < state.ejectedUntil || state.lastResponseAt >= sentAt) return false;
    // The first unresponsive worker is ejected however few workers this VM has sent requests to.
    if (!this.canEjectAnother(service, now) && this.countEjected(service, now) > 0) return false;
    this.eject(state, now);
    return true;
  }

  /**
   * Withdraws a first-token timeout that was recorded at the given time, because a token came later or the
   * request ended with another result. Being slow for a moment is not a failure.
   */
  withdrawFirstTokenTimeout(service: string, workerId: string, recordedAt: number): void {
    this.results?.retractFailure(service, workerId, recordedAt);
  }

  /** Removes workers that are no longer listed. */
  retain(isListed: (workerId: string) => boolean): void {
    for (const workerId of this.states.keys()) {
      if (!isListed(workerId)) this.states.delete(workerId);
    }
  }

  private findOrCreate(service: string, workerId: string): HealthState {
    const existing = this.states.get(workerId);
    if (existing !== undefined) return existing;
    const state = {
      service,
      consecutiveFaults: 0,
      ejections: 0,
      ejectedUntil: 0,
      samples: [],
      lastResponseAt: -1,
    };
    this.states.set(workerId, state);
    return state;
  }

  private isSlow(service: string, state: HealthState, now: number): boolean {
    if (state.samples.length < MIN_LATENCY_SAMPLES) return false;
    const latencyMs = lowerMedian(state.samples.map((sample) => sample.latencyMs));
    if (latencyMs < MIN_EJECTION_LATENCY_MS) return false;
    if (!this.canEjectAnother(service, now)) return false;
    const workers = this.listStates(service);
    const others = workers.filter((other) => other !== state && now >= other.ejectedUntil);
    const recentLatencies = this.listRecentLatencies(others, state.samples.at(-RECENT_SAMPLES)!.at);
    if (recentLatencies.length === 0 || recentLatencies.length < others.length / 2) return false;
    return latencyMs > LATENCY_FACTOR * median(recentLatencies);
  }

  private listStates(service: string): HealthState[] {
    return [...this.states.values()].filter((state) => state.service === service);
  }

  /** Limits ejections for latency or timeouts to `MAX_EJECTED_SHARE` of the service's workers. */
  private canEjectAnother(service: string, now: number): boolean {
    const workerCount = this.listStates(service).length;
    return (this.countEjected(service, now) + 1) / workerCount <= MAX_EJECTED_SHARE;
  }

  private countEjected(service: string, now: number): number {
    return this.listStates(service).filter((other) => now < other.ejectedUntil).length;
  }

  /** Latest latency of each worker since a time; older ones may predate a fleet-wide slowdown. */
  private listRecentLatencies(others: readonly HealthState[], since: number): number[] {
    return others
      .map((other) => other.samples.at(-1))
      .filter((sample) => sample !== undefined && sample.at >= since)
      .map((sample) => sample!.latencyMs);
  }

  private eject(state: HealthState, now: number): void {
    state.ejections += 1;
    const duration = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** (state.ejections - 1));
    state.ejectedUntil = now + duration;
    state.consecutiveFaults = 0;
    // Latency before the ejection does not reflect the worker's state after it.
    state.samples = [];
  }
}
