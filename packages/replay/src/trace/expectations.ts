/** Expectations of a trace: its expected outcomes, stated by its author. */
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

/** Outcome of a request as its caller knows it: those of problem details, `succeeded` and `pending`. */
export enum RequestOutcome {
  Succeeded = 'succeeded',
  NotRun = 'not-run',
  Failed = 'failed',
  OutcomeUnknown = 'outcome-unknown',
  /** No response yet, and the connection is still open. */
  Pending = 'pending',
}

const idSchema = z.string().min(1);
const countSchema = z.int().min(0);
const durationSchema = z.number().min(0);
const outcomeSchema = z.enum(RequestOutcome);
const oneOrMore = <T extends z.ZodType>(value: T) => z.union([value, z.array(value).min(1)]);

const defineExpectation = <K extends ExpectationKind, F extends z.ZodRawShape>(
  kind: K,
  fields: F,
) => z.strictObject({ expect: z.literal(kind), ...fields });

export const EXPECTATION_SCHEMAS = {
  [ExpectationKind.Outcome]: defineExpectation(ExpectationKind.Outcome, {
    event: idSchema,
    outcome: oneOrMore(outcomeSchema).optional(),
    status: oneOrMore(countSchema).optional(),
    answer: z.string().optional(),
  }),
  [ExpectationKind.Burst]: defineExpectation(ExpectationKind.Burst, {
    event: idSchema,
    succeeded: countSchema,
    tokensEach: countSchema,
  }),
  [ExpectationKind.JobEnd]: defineExpectation(ExpectationKind.JobEnd, {
    event: idSchema,
    status: z.enum(JobStatus),
    succeeded: countSchema.optional(),
    failed: countSchema.optional(),
    duplicates: countSchema.default(0),
    textDigest: z.string().optional(),
  }),
  [ExpectationKind.SameJob]: defineExpectation(ExpectationKind.SameJob, {
    events: z.array(idSchema).min(2),
  }),
  [ExpectationKind.OneWinner]: defineExpectation(ExpectationKind.OneWinner, {
    events: z.array(idSchema).min(2),
  }),
  [ExpectationKind.CancelBound]: defineExpectation(ExpectationKind.CancelBound, {
    event: idSchema,
    limitMs: durationSchema,
  }),
  [ExpectationKind.LeavingBound]: defineExpectation(ExpectationKind.LeavingBound, {
    event: idSchema,
    limitMs: durationSchema,
  }),
  [ExpectationKind.YieldBound]: defineExpectation(ExpectationKind.YieldBound, {
    event: idSchema,
    limitMs: durationSchema,
  }),
  [ExpectationKind.ConfigurationInForce]: defineExpectation(ExpectationKind.ConfigurationInForce, {
    event: idSchema,
    limitMs: durationSchema,
  }),
  [ExpectationKind.ConfigurationReverts]: defineExpectation(ExpectationKind.ConfigurationReverts, {
    count: countSchema,
  }),
  [ExpectationKind.FirstToken]: defineExpectation(ExpectationKind.FirstToken, {
    percentile: z.number().gt(0).max(100),
    limitMs: durationSchema,
  }),
  [ExpectationKind.Executions]: defineExpectation(ExpectationKind.Executions, {
    key: idSchema,
    atMost: countSchema,
  }),
  [ExpectationKind.NotRunExecutions]: defineExpectation(ExpectationKind.NotRunExecutions, {
    count: countSchema,
  }),
  [ExpectationKind.PlannedStop]: defineExpectation(ExpectationKind.PlannedStop, {
    event: idSchema,
    cutOff: countSchema,
  }),
} as const;

export type ExpectationOf<K extends ExpectationKind> = z.infer<(typeof EXPECTATION_SCHEMAS)[K]>;

export type Expectation = { [K in ExpectationKind]: ExpectationOf<K> }[ExpectationKind];

const REQUEST_EVENT_KINDS = [
  EventKind.Chat,
  EventKind.Call,
  EventKind.Submit,
  EventKind.Resend,
  EventKind.Cancel,
  EventKind.ReadResults,
  EventKind.WriteRecord,
] as const;

/** Kinds of events to which each kind of expectation may refer. */
export const SUBJECT_EVENT_KINDS: Record<ExpectationKind, readonly EventKind[]> = {
  [ExpectationKind.Outcome]: REQUEST_EVENT_KINDS,
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
