/** Overload decision: whether an online request is admitted, waits or is refused early. */
import type { WorkerLoad } from '@jujubelanding/interfaces';

export enum OverloadDecision {
  Admit = 'admit',
  Wait = 'wait',
  Refuse = 'refuse',
}

export interface OverloadBounds {
  /** Online requests that this VM has in progress at most. */
  maxOnlineInFlight: number;
  /** Requests per slot above which workers count as full. */
  maxUtilization: number;
  maxWaiting: number;
  maxWaitMs: number;
}

export const DEFAULT_OVERLOAD_BOUNDS: Omit<OverloadBounds, 'maxOnlineInFlight'> = {
  // Estimates lag by some milliseconds; a small surplus keeps the workers busy meanwhile.
  maxUtilization: 1.25,
  maxWaiting: 64,
  maxWaitMs: 1000,
};

export interface OverloadState {
  inFlight: number;
  waiting: number;
  /** Estimated load of all candidates for the request. */
  loads: readonly WorkerLoad[];
  /** Requests admitted just now, which the loads do not contain yet. */
  admitted?: number;
}

/** Decides about one request. Without candidates routing gives the more exact answer. */
export const decideOverload = (state: OverloadState, bounds: OverloadBounds): OverloadDecision => {
  const slots = state.loads.reduce((sum, load) => sum + load.slots, 0);
  const online = state.loads.reduce((sum, load) => sum + load.online, state.admitted ?? 0);
  const isFull = slots > 0 && online >= slots * bounds.maxUtilization;
  if (!isFull && state.inFlight < bounds.maxOnlineInFlight) return OverloadDecision.Admit;
  return state.waiting < bounds.maxWaiting ? OverloadDecision.Wait : OverloadDecision.Refuse;
};
