/** Expectations of a trace: the outcomes that a person stated for it. */
import { JobStatus } from '@jujubelanding/types';
import * as z from 'zod';
import { EventKind } from './events.js';

export enum ExpectationKind {
  Outcome = 'outcome',
  Burst = 'burst',
  JobEnd = 'jobEnd',
  SameJob = 'sameJob',
  OneWinner = 'oneWinner',
  CancelBound = 'cancelBound',
  LeavingBound = 'leavingBound',
  YieldBound = 'yieldBound',
  ConfigurationInForce = 'configurationInForce',
  ConfigurationReverts = 'configurationReverts',
  FirstToken = 'firstToken',
  Executions = 'executions',
  NotRunExecutions = 'notRunExecutions',
  PlannedStop = 'plannedStop',
}

/** What a caller knows of its request; the values of problem details, and two more. */
export enum RequestOutcome {
  Succeeded = 'succeeded',
  NotRun = 'not-run',
  Failed = 'failed',
  OutcomeUnknown = 'outcome-unknown',
  /** Neither an answer nor the end of the connection so far. */
  Pending = 'pending',
}

const id = z.string().min(1);
const count = z.int().min(0);
const duration = z.number().min(0);
const outcome = z.enum(RequestOutcome);
const oneOrMore = <T extends z.ZodType>(value: T) => z.union([value, z.array(value).min(1)]);

const define = <K extends ExpectationKind, F extends z.ZodRawShape>(kind: K, fields: F) =>
  z.strictObject({ expect: z.literal(kind), ...fields });

export const EXPECTATION_SCHEMAS = {
  [ExpectationKind.Outcome]: define(ExpectationKind.Outcome, {
    event: id,
    outcome: oneOrMore(outcome).optional(),
    status: oneOrMore(count).optional(),
    answer: z.string().optional(),
  }),
  [ExpectationKind.Burst]: define(ExpectationKind.Burst, {
    event: id,
    succeeded: count,
    tokensEach: count,
  }),
  [ExpectationKind.JobEnd]: define(ExpectationKind.JobEnd, {
    event: id,
    status: z.enum(JobStatus),
    succeeded: count.optional(),
    failed: count.optional(),
    duplicates: count.default(0),
    textDigest: z.string().optional(),
  }),
  [ExpectationKind.SameJob]: define(ExpectationKind.SameJob, { events: z.array(id).min(2) }),
  [ExpectationKind.OneWinner]: define(ExpectationKind.OneWinner, { events: z.array(id).min(2) }),
  [ExpectationKind.CancelBound]: define(ExpectationKind.CancelBound, {
    event: id,
    limitMs: duration,
  }),
  [ExpectationKind.LeavingBound]: define(ExpectationKind.LeavingBound, {
    event: id,
    limitMs: duration,
  }),
  [ExpectationKind.YieldBound]: define(ExpectationKind.YieldBound, {
    event: id,
    limitMs: duration,
  }),
  [ExpectationKind.ConfigurationInForce]: define(ExpectationKind.ConfigurationInForce, {
    event: id,
    limitMs: duration,
  }),
  [ExpectationKind.ConfigurationReverts]: define(ExpectationKind.ConfigurationReverts, {
    count,
  }),
  [ExpectationKind.FirstToken]: define(ExpectationKind.FirstToken, {
    percentile: z.number().gt(0).max(100),
    limitMs: duration,
  }),
  [ExpectationKind.Executions]: define(ExpectationKind.Executions, { key: id, atMost: count }),
  [ExpectationKind.NotRunExecutions]: define(ExpectationKind.NotRunExecutions, { count }),
  [ExpectationKind.PlannedStop]: define(ExpectationKind.PlannedStop, { event: id, cutOff: count }),
} as const;

export type ExpectationOf<K extends ExpectationKind> = z.infer<(typeof EXPECTATION_SCHEMAS)[K]>;

export type Expectation = { [K in ExpectationKind]: ExpectationOf<K> }[ExpectationKind];

const REQUESTS = [
  EventKind.Chat,
  EventKind.Call,
  EventKind.Submit,
  EventKind.Resend,
  EventKind.Cancel,
  EventKind.ReadResults,
  EventKind.WriteRecord,
] as const;

/** Kinds of events to which an expectation may refer. */
export const SUBJECTS: Record<ExpectationKind, readonly EventKind[]> = {
  [ExpectationKind.Outcome]: REQUESTS,
  [ExpectationKind.Burst]: [EventKind.Burst],
  [ExpectationKind.JobEnd]: [EventKind.Submit],
  [ExpectationKind.SameJob]: [EventKind.Submit, EventKind.Resend],
  [ExpectationKind.OneWinner]: [EventKind.WriteRecord],
  [ExpectationKind.CancelBound]: [EventKind.Cancel],
  [ExpectationKind.LeavingBound]: [EventKind.LeaveWorker],
  [ExpectationKind.YieldBound]: [EventKind.Burst],
  [ExpectationKind.ConfigurationInForce]: [EventKind.WriteRecord],
  [ExpectationKind.ConfigurationReverts]: [],
  [ExpectationKind.FirstToken]: [],
  [ExpectationKind.Executions]: [],
  [ExpectationKind.NotRunExecutions]: [],
  [ExpectationKind.PlannedStop]: [EventKind.StopEntryVm],
};
