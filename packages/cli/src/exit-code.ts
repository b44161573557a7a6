/** Exit codes of the command-line tool; stable, since scripts depend on them. */
import { type Fault, FaultCode, Outcome } from '@jujubelanding/errors';

export enum ExitCode {
  Ok = 0,
  /** It ran and failed. */
  Failed = 1,
  /** Arguments or input are not allowed. */
  Usage = 2,
  /** Another change, or other content under the same key, came first. */
  Conflict = 3,
  NotFound = 4,
  /** Nothing ran; safe to try again. */
  NotRun = 5,
  /** Sent, but no conclusive answer. */
  OutcomeUnknown = 6,
  Unauthorized = 7,
  /** The time for waiting is over; what was waited for may still happen. */
  TimedOut = 8,
}

const EXIT_CODE_BY_FAULT_CODE: Partial<Record<FaultCode, ExitCode>> = {
  [FaultCode.InvalidInput]: ExitCode.Usage,
  [FaultCode.TooLarge]: ExitCode.Usage,
  [FaultCode.Conflict]: ExitCode.Conflict,
  [FaultCode.KeyReused]: ExitCode.Conflict,
  [FaultCode.AlreadyClaimed]: ExitCode.Conflict,
  [FaultCode.NotFound]: ExitCode.NotFound,
  [FaultCode.Unauthorized]: ExitCode.Unauthorized,
};

const EXIT_CODE_BY_OUTCOME: Record<Outcome, ExitCode> = {
  [Outcome.NotRun]: ExitCode.NotRun,
  [Outcome.Failed]: ExitCode.Failed,
  [Outcome.OutcomeUnknown]: ExitCode.OutcomeUnknown,
};

/** Returns the exit code for a fault; an unknown outcome takes precedence over the fault's code. */
export const getExitCode = ({ code, outcome }: Fault): ExitCode => {
  if (outcome === Outcome.OutcomeUnknown) return ExitCode.OutcomeUnknown;
  return EXIT_CODE_BY_FAULT_CODE[code] ?? EXIT_CODE_BY_OUTCOME[outcome];
};
