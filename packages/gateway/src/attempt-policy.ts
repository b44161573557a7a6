/** Decides what follows an attempt of an online request. */
import { Outcome, type Fault } from '@jujubelanding/errors';
import { RouteKind } from '@jujubelanding/route-table';

/** Workers asked in all, refusals included; more mean that the whole service is full. */
const MAX_SENDS = 5;

/** With less time left no other worker can answer. */
const MIN_REMAINING_MS = 20;

const FIRST_SERVER_ERROR = 500;

export enum NextStep {
  Finish = 'finish',
  TryAnother = 'try-another',
}

export interface AttemptState {
  fault: Fault | undefined;
  /** Status of the worker's own answer. */
  status: number | undefined;
  kind: RouteKind;
  isResumable: boolean;
  /** True once part of the answer has gone to the caller. */
  hasStarted: boolean;
  /** True where the answer so far is a series of whole events with ids. */
  canResume: boolean;
  /** True when the caller has left or the request's time has passed. */
  isAborted: boolean;
  /** Workers on which the request has run, or may have. */
  runs: number;
  sends: number;
  maxRuns: number;
  remainingMs: number;
}

const mayRunAgain = (state: AttemptState): boolean => {
  if (state.runs >= state.maxRuns) return false;
  if (state.kind === RouteKind.Idempotent) return !state.hasStarted;
  if (state.kind !== RouteKind.Streaming || !state.isResumable) return false;
  return !state.hasStarted || state.canResume;
};

export const decideNext = (state: AttemptState): NextStep => {
  const { fault, status = 0 } = state;
  const hasFailed = fault !== undefined || status >= FIRST_SERVER_ERROR;
  if (!hasFailed || state.isAborted) return NextStep.Finish;
  if (state.remainingMs < MIN_REMAINING_MS || state.sends >= MAX_SENDS) return NextStep.Finish;
  if (fault?.outcome === Outcome.NotRun && !state.hasStarted) return NextStep.TryAnother;
  return mayRunAgain(state) ? NextStep.TryAnother : NextStep.Finish;
};
