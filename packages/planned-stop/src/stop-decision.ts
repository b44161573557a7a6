/** Share of the fleet that remains for callers before a stopping VM closes its listener early. */
const MIN_REMAINING_SHARE = 0.5;

/** Time for requests that arrived just before the listener closed; most take less. */
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
  /** Other VMs that serve, or that began to stop after this one. */
  remainingVms: number;
}

const decideWhileListening = (state: StopState): StopStep => {
  if (state.elapsedMs >= state.deadlineMs - COMPLETION_MS) return StopStep.CloseListener;
  if (state.elapsedMs < state.callerDrainMs) return StopStep.Serve;
  return state.remainingVms >= state.fleetVms * MIN_REMAINING_SHARE
    ? StopStep.CloseListener
    : StopStep.Serve;
};

/** Decides what a stopping VM does next. */
export const decideStop = (state: StopState): StopStep => {
  if (state.elapsedMs >= state.deadlineMs) return StopStep.Exit;
  if (state.isListening) return decideWhileListening(state);
  return state.requestsInProgress === 0 ? StopStep.Exit : StopStep.Serve;
};
