/** Events of a trace: actions of callers and operators, and faults. */
import { RecordKind } from '@jujubelanding/types';
import * as z from 'zod';

export enum EventKind {
  Chat = 'chat',
  Burst = 'burst',
  Call = 'call',
  Submit = 'submit',
  Resend = 'resend',
  Cancel = 'cancel',
  ReadResults = 'readResults',
  WriteRecord = 'writeRecord',
  CrashEntryVm = 'crashEntryVm',
  StartEntryVm = 'startEntryVm',
  StopEntryVm = 'stopEntryVm',
  PauseEntryVm = 'pauseEntryVm',
  ResumeEntryVm = 'resumeEntryVm',
  CutLink = 'cutLink',
  HealLink = 'healLink',
  LoseZone = 'loseZone',
  RestoreZone = 'restoreZone',
  KeyValueDown = 'keyValueDown',
  KeyValueSlow = 'keyValueSlow',
  KeyValueLossy = 'keyValueLossy',
  KeyValueUp = 'keyValueUp',
  CrashWorker = 'crashWorker',
  RestartWorker = 'restartWorker',
  SlowWorker = 'slowWorker',
  LeaveWorker = 'leaveWorker',
  ReturnWorker = 'returnWorker',
  FillDisk = 'fillDisk',
  FreeDisk = 'freeDisk',
  CorruptSegment = 'corruptSegment',
}

export enum Unreachability {
  Refusing = 'refusing',
  Cut = 'cut',
}

/** Value of `expectedRevision` that stands for the revision at which the header's record was written. */
export const INITIAL_REVISION = 'initial';

const idSchema = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]*$/);
const textSchema = z.string().min(1);
const durationSchema = z.number().min(0);
const chanceSchema = z.number().min(0).max(1);
const tokenCountSchema = z.int().min(1).max(10_000);

const defineEvent = <K extends EventKind, F extends z.ZodRawShape>(kind: K, fields: F) =>
  z.strictObject({ kind: z.literal(kind), id: idSchema, at: z.number().min(0), ...fields });

const idempotencyFields = { key: textSchema.optional(), idempotent: z.boolean().optional() };

const chatFields = { model: textSchema, prompt: textSchema, maxTokens: tokenCountSchema };

export const EVENT_SCHEMAS = {
  [EventKind.Chat]: defineEvent(EventKind.Chat, {
    via: idSchema,
    ...chatFields,
    ...idempotencyFields,
    stream: z.boolean().default(true),
  }),
  [EventKind.Burst]: defineEvent(EventKind.Burst, {
    ...chatFields,
    count: z.int().min(1).max(1000),
    overMs: durationSchema,
  }),
  [EventKind.Call]: defineEvent(EventKind.Call, {
    via: idSchema,
    service: textSchema,
    path: z.string().startsWith('/'),
    body: z.string(),
    ...idempotencyFields,
  }),
  [EventKind.Submit]: defineEvent(EventKind.Submit, {
    via: idSchema,
    key: textSchema,
    model: textSchema,
    prompt: textSchema,
    items: z.int().min(1).max(10_000),
    maxTokens: tokenCountSchema,
    failing: z.array(z.int().min(0)).default([]),
    dueInMs: z.int().min(1).optional(),
  }),
  [EventKind.Resend]: defineEvent(EventKind.Resend, { via: idSchema, job: idSchema }),
  [EventKind.Cancel]: defineEvent(EventKind.Cancel, { via: idSchema, job: idSchema }),
  [EventKind.ReadResults]: defineEvent(EventKind.ReadResults, { via: idSchema, job: idSchema }),
  [EventKind.WriteRecord]: defineEvent(EventKind.WriteRecord, {
    via: idSchema,
    recordKind: z.enum(RecordKind),
    name: textSchema,
    schemaVersion: z.int().min(1),
    spec: z.record(z.string(), z.unknown()),
    expectedRevision: z.union([z.int().min(0), idSchema]),
  }),
  [EventKind.CrashEntryVm]: defineEvent(EventKind.CrashEntryVm, { entryVm: idSchema }),
  [EventKind.StartEntryVm]: defineEvent(EventKind.StartEntryVm, { entryVm: idSchema }),
  [EventKind.StopEntryVm]: defineEvent(EventKind.StopEntryVm, { entryVm: idSchema }),
  [EventKind.PauseEntryVm]: defineEvent(EventKind.PauseEntryVm, { entryVm: idSchema }),
  [EventKind.ResumeEntryVm]: defineEvent(EventKind.ResumeEntryVm, { entryVm: idSchema }),
  [EventKind.CutLink]: defineEvent(EventKind.CutLink, { from: idSchema, to: idSchema }),
  [EventKind.HealLink]: defineEvent(EventKind.HealLink, { from: idSchema, to: idSchema }),
  [EventKind.LoseZone]: defineEvent(EventKind.LoseZone, { availabilityZone: textSchema }),
  [EventKind.RestoreZone]: defineEvent(EventKind.RestoreZone, { availabilityZone: textSchema }),
  [EventKind.KeyValueDown]: defineEvent(EventKind.KeyValueDown, { mode: z.enum(Unreachability) }),
  [EventKind.KeyValueSlow]: defineEvent(EventKind.KeyValueSlow, {
    floorMs: durationSchema,
    meanExtraMs: durationSchema,
  }),
  [EventKind.KeyValueLossy]: defineEvent(EventKind.KeyValueLossy, {
    lostReplyChance: chanceSchema,
    lostRequestChance: chanceSchema,
  }),
  [EventKind.KeyValueUp]: defineEvent(EventKind.KeyValueUp, {}),
  [EventKind.CrashWorker]: defineEvent(EventKind.CrashWorker, { worker: idSchema }),
  [EventKind.RestartWorker]: defineEvent(EventKind.RestartWorker, { worker: idSchema }),
  [EventKind.SlowWorker]: defineEvent(EventKind.SlowWorker, {
    worker: idSchema,
    factor: z.number().positive(),
  }),
  [EventKind.LeaveWorker]: defineEvent(EventKind.LeaveWorker, { worker: idSchema }),
  [EventKind.ReturnWorker]: defineEvent(EventKind.ReturnWorker, { worker: idSchema }),
  [EventKind.FillDisk]: defineEvent(EventKind.FillDisk, { entryVm: idSchema }),
  [EventKind.FreeDisk]: defineEvent(EventKind.FreeDisk, { entryVm: idSchema }),
  [EventKind.CorruptSegment]: defineEvent(EventKind.CorruptSegment, {
    entryVm: idSchema,
    position: z.int().min(0),
  }),
} as const;

export type EventOf<K extends EventKind> = z.infer<(typeof EVENT_SCHEMAS)[K]>;

export type TraceEvent = { [K in EventKind]: EventOf<K> }[EventKind];
