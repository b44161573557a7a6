import { countEnough } from './fleet-share.js';

/** Time for requests that arrived just before the listener closed at the end of the grace. */
const COMPLETION_MS = 500;

export enum StopStep {
  Serve = 'serve',
  CloseListener = 'close-listener',
  Exit = 'exit',
}

/** State of a stopping VM; times are since the start of the stop. */
export interface StopState {
  elapsedMs: number;
  /** Time at which the process must end. */
  deadlineMs: number;
  /** Time until the callers that had this VM's address have got new ones. */
  callerDrainMs: number;
  isListening: boolean;
  requestsInProgress: number;
  /** VMs of the fleet with this one, including those that are stopping or not back yet. */
  fleetVms: number;
  /** Other VMs that serve, or that still accept connections and end after this one. */
  remainingVms: number;
}

const decideWhileListening = (state: StopState): StopStep => {
  if (state.elapsedMs >= state.deadlineMs - COMPLETION_MS) return StopStep.CloseListener;
  if (state.elapsedMs < state.callerDrainMs) return StopStep.Serve;
  return state.remainingVms >= countEnough(state.fleetVms)
    ? StopStep.CloseListener
    : StopStep.Serve;
};

/** Decides what a stopping VM does next. */
export const decideStop = (state: StopState): StopStep => {
  if (state.elapsedMs >= state.deadlineMs) return StopStep.Exit;
  if (state.isListening) return decideWhileListening(state);
  return state.requestsInProgress === 0 ? StopStep.Exit : StopStep.Serve;
};
