/** Exit codes of the command-line tool; they are stable, because scripts depend on them. */
import { type Fault, FaultCode, Outcome } from '@jujubelanding/errors';

export enum ExitCode {
  Ok = 0,
  /** The request was executed and failed, or a job ended with failed items. */
  Failed = 1,
  /** Invalid arguments or input. */
  Usage = 2,
  /** A concurrent change, or different content under the same key, came first. */
  Conflict = 3,
  NotFound = 4,
  /** Nothing took effect; a retry is safe. */
  NotRun = 5,
  /** The request was sent, but no conclusive response arrived. */
  OutcomeUnknown = 6,
  Unauthorized = 7,
  /** The wait timed out; the awaited event may still occur. */
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
