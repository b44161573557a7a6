/** Overload decision: admit an online request, let it wait or refuse it early. */
import type { WorkerLoad } from '@jujubelanding/interfaces';

export enum OverloadDecision {
  Admit = 'admit',
  Wait = 'wait',
  Refuse = 'refuse',
}

export interface OverloadBounds {
  /** Maximum number of online requests in progress on this VM. */
  maxOnlineInFlight: number;
  /** Requests per slot from which workers count as full. */
  maxUtilization: number;
  maxWaiting: number;
  maxWaitMs: number;
}

export const DEFAULT_OVERLOAD_BOUNDS: Omit<OverloadBounds, 'maxOnlineInFlight'> = {
  // Load estimates lag by some milliseconds; a small surplus keeps the workers busy meanwhile.
  maxUtilization: 1.25,
  maxWaiting: 64,
  maxWaitMs: 1000,
};

export interface OverloadState {
  inFlight: number;
  waiting: number;
  /** Estimated load of all candidate workers for the request. */
  loads: readonly WorkerLoad[];
  /** Recently admitted requests that `loads` does not include yet. */
  admitted?: number;
}

/** Decides on one request. Without candidates capacity is not checked: routing reports the exact error. */
export const decideOverload = (state: OverloadState, bounds: OverloadBounds): OverloadDecision => {
  const slots = state.loads.reduce((sum, load) => sum + load.slots, 0);
  const online = state.loads.reduce((sum, load) => sum + load.online, state.admitted ?? 0);
  const isFull = slots > 0 && online >= slots * bounds.maxUtilization;
  if (!isFull && state.inFlight < bounds.maxOnlineInFlight) return OverloadDecision.Admit;
  return state.waiting < bounds.maxWaiting ? OverloadDecision.Wait : OverloadDecision.Refuse;
};
