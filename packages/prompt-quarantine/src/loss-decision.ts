/** Decides whether losses at one run of a worker are a crash of the worker. Times are passed in. */
import { ConnectionResult } from '@jujubelanding/platform';

/**
 * Data that arrive sooner after a loss may have been sent before it: they can wait in the buffer of another
 * connection, also while this VM gets no processor time.
 */
const MIN_DATA_DELAY_MS = 50;

/**
 * A worker takes longer than this to be back after a crash. If its run was known to be up within this time
 * before a loss, a connection accepted after the loss belongs to the same run.
 */
const MIN_RESTART_MS = 2000;

/**
 * Requests that crash workers do so soon after they begin. A crash later in an answer counts against no
 * request: long streams are in progress at many crashes of other causes.
 */
const EARLY_CUT_MS = 1000;

/** True if the crash of a worker within an answer may be due to the request. */
export const isEarlyCut = (firstDataAt: number, lostAt: number): boolean =>
  lostAt - firstDataAt <= EARLY_CUT_MS;

export enum LossVerdict {
  /** The run has ended or does not respond. */
  Crash = 'crash',
  /** The run goes on, so the losses say nothing about their requests. */
  Alive = 'alive',
  /** The run was not seen to be down, nor is it proven that it goes on; the losses do not count. */
  Unknown = 'unknown',
}

export enum LossEvidence {
  /** Data of another request of the same run came after the losses. */
  Data = 'data',
  ConnectionAccepted = 'connection-accepted',
  ConnectionRefused = 'connection-refused',
  NoResponse = 'no-response',
  /** All connections were accepted and closed at once. */
  ConnectionsClosed = 'connections-closed',
  None = 'none',
}

export interface LossDecision {
  verdict: LossVerdict;
  evidence: LossEvidence;
}

export interface LossInputs {
  /** Time of the last one of the losses. */
  lostAt: number;
  /** Last time before the losses at which the run was up: a lost request was sent to it, or data came. */
  upAt: number;
  /** Time of the last data of the run. */
  dataAt: number;
  /** Time at which the connection was opened. */
  checkedAt: number;
  /** Undefined if no connection was opened. */
  connection: ConnectionResult | undefined;
  /** True if no further connection will be opened. */
  isLast: boolean;
}

/** Returns undefined if another connection must be tried first. */
export const decideLoss = (inputs: LossInputs): LossDecision | undefined => {
  const { lostAt, upAt, dataAt, checkedAt, connection, isLast } = inputs;
  const alive = { verdict: LossVerdict.Alive, evidence: LossEvidence.Data };
  if (connection !== undefined && dataAt > checkedAt) return alive;
  if (connection === ConnectionResult.Refused) {
    return { verdict: LossVerdict.Crash, evidence: LossEvidence.ConnectionRefused };
  }
  if (connection === ConnectionResult.Silent) {
    return { verdict: LossVerdict.Crash, evidence: LossEvidence.NoResponse };
  }
  if (dataAt - lostAt >= MIN_DATA_DELAY_MS) return alive;
  const isSameRun = lostAt - upAt < MIN_RESTART_MS;
  if (connection === ConnectionResult.Accepted && isSameRun) {
    return { verdict: LossVerdict.Alive, evidence: LossEvidence.ConnectionAccepted };
  }
  if (connection === ConnectionResult.Closed && isSameRun) {
    return isLast
      ? { verdict: LossVerdict.Unknown, evidence: LossEvidence.ConnectionsClosed }
      : undefined;
  }
  return { verdict: LossVerdict.Crash, evidence: LossEvidence.None };
};
