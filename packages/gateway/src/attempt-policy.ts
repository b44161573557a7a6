/** Decides whether an attempt of an online request is followed by another one. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { mayRepeat, RouteKind } from '@jujubelanding/route-table';

/** Maximum sends per request, including rejected ones; if more are needed, the service is full. */
const MAX_SENDS = 5;

/** Remaining time below which no further attempt is made, as no worker could answer in time. */
const MIN_REMAINING_MS = 20;

const FIRST_SERVER_ERROR = 500;

export enum NextStep {
  Finish = 'finish',
  TryAnother = 'try-another',
}

export interface AttemptState {
  fault: Fault | undefined;
  /** Status of the worker's response, if there is one. */
  status: number | undefined;
  kind: RouteKind;
  isResumable: boolean;
  /** True once part of the response has been sent to the caller. */
  hasStarted: boolean;
  /** True if the response so far consists of complete events with ids. */
  canResume: boolean;
  /** True if the caller has disconnected or the request has timed out. */
  isAborted: boolean;
  /** Number of attempts that have run, or may have run. */
  runs: number;
  /** Number of times that the request was sent to a worker, including rejections. */
  sends: number;
  maxRuns: number;
  remainingMs: number;
}

/** Codes of faults that are due to the load of a worker or to the request. */
const BLAMELESS_CODES: ReadonlySet<FaultCode> = new Set([
  FaultCode.Overloaded,
  FaultCode.InvalidInput,
]);

/** True if the fault counts against the worker to which the request was sent. */
export const isWorkerFault = ({ code }: Fault): boolean => !BLAMELESS_CODES.has(code);

const mayRunAgain = (state: AttemptState): boolean => {
  if (state.runs >= state.maxRuns) return false;
  if (!mayRepeat(state)) return false;
  return !state.hasStarted || (state.kind === RouteKind.Streaming && state.canResume);
};

export const decideNext = (state: AttemptState): NextStep => {
  const { fault, status = 0 } = state;
  const hasFailed = fault !== undefined || status >= FIRST_SERVER_ERROR;
  if (!hasFailed || state.isAborted) return NextStep.Finish;
  // No worker can be sent the request.
  if (fault?.code === FaultCode.InvalidInput) return NextStep.Finish;
  if (state.remainingMs < MIN_REMAINING_MS || state.sends >= MAX_SENDS) return NextStep.Finish;
  if (fault?.outcome === Outcome.NotRun && !state.hasStarted) return NextStep.TryAnother;
  return mayRunAgain(state) ? NextStep.TryAnother : NextStep.Finish;
};
