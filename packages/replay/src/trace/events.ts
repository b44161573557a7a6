/** Events of a trace: what callers, operators and the environment did. */
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

/** Stands for the revision that a header record got. */
export const INITIAL_REVISION = 'initial';

const id = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]*$/);
const text = z.string().min(1);
const duration = z.number().min(0);
const chance = z.number().min(0).max(1);
const tokens = z.int().min(1).max(10_000);

const defineEvent = <K extends EventKind, F extends z.ZodRawShape>(kind: K, fields: F) =>
  z.strictObject({ kind: z.literal(kind), id, at: z.number().min(0), ...fields });

const idempotency = { key: text.optional(), idempotent: z.boolean().optional() };

const chat = { model: text, prompt: text, maxTokens: tokens };

export const EVENT_SCHEMAS = {
  [EventKind.Chat]: defineEvent(EventKind.Chat, {
    via: id,
    ...chat,
    ...idempotency,
    stream: z.boolean().default(true),
  }),
  [EventKind.Burst]: defineEvent(EventKind.Burst, {
    ...chat,
    count: z.int().min(1).max(1000),
    overMs: duration,
  }),
  [EventKind.Call]: defineEvent(EventKind.Call, {
    via: id,
    service: text,
    path: z.string().startsWith('/'),
    body: z.string(),
    ...idempotency,
  }),
  [EventKind.Submit]: defineEvent(EventKind.Submit, {
    via: id,
    key: text,
    model: text,
    prompt: text,
    items: z.int().min(1).max(10_000),
    maxTokens: tokens,
    failing: z.array(z.int().min(0)).default([]),
    dueInMs: z.int().min(1).optional(),
  }),
  [EventKind.Resend]: defineEvent(EventKind.Resend, { via: id, job: id }),
  [EventKind.Cancel]: defineEvent(EventKind.Cancel, { via: id, job: id }),
  [EventKind.ReadResults]: defineEvent(EventKind.ReadResults, { via: id, job: id }),
  [EventKind.WriteRecord]: defineEvent(EventKind.WriteRecord, {
    via: id,
    recordKind: z.enum(RecordKind),
    name: text,
    schemaVersion: z.int().min(1),
    spec: z.record(z.string(), z.unknown()),
    expectedRevision: z.union([z.int().min(0), id]),
  }),
  [EventKind.CrashEntryVm]: defineEvent(EventKind.CrashEntryVm, { entryVm: id }),
  [EventKind.StartEntryVm]: defineEvent(EventKind.StartEntryVm, { entryVm: id }),
  [EventKind.StopEntryVm]: defineEvent(EventKind.StopEntryVm, { entryVm: id }),
  [EventKind.PauseEntryVm]: defineEvent(EventKind.PauseEntryVm, { entryVm: id }),
  [EventKind.ResumeEntryVm]: defineEvent(EventKind.ResumeEntryVm, { entryVm: id }),
  [EventKind.CutLink]: defineEvent(EventKind.CutLink, { from: id, to: id }),
  [EventKind.HealLink]: defineEvent(EventKind.HealLink, { from: id, to: id }),
  [EventKind.LoseZone]: defineEvent(EventKind.LoseZone, { availabilityZone: text }),
  [EventKind.RestoreZone]: defineEvent(EventKind.RestoreZone, { availabilityZone: text }),
  [EventKind.KeyValueDown]: defineEvent(EventKind.KeyValueDown, { mode: z.enum(Unreachability) }),
  [EventKind.KeyValueSlow]: defineEvent(EventKind.KeyValueSlow, {
    floorMs: duration,
    meanExtraMs: duration,
  }),
  [EventKind.KeyValueLossy]: defineEvent(EventKind.KeyValueLossy, {
    lostReplyChance: chance,
    lostRequestChance: chance,
  }),
  [EventKind.KeyValueUp]: defineEvent(EventKind.KeyValueUp, {}),
  [EventKind.CrashWorker]: defineEvent(EventKind.CrashWorker, { worker: id }),
  [EventKind.RestartWorker]: defineEvent(EventKind.RestartWorker, { worker: id }),
  [EventKind.SlowWorker]: defineEvent(EventKind.SlowWorker, {
    worker: id,
    factor: z.number().positive(),
  }),
  [EventKind.LeaveWorker]: defineEvent(EventKind.LeaveWorker, { worker: id }),
  [EventKind.ReturnWorker]: defineEvent(EventKind.ReturnWorker, { worker: id }),
  [EventKind.FillDisk]: defineEvent(EventKind.FillDisk, { entryVm: id }),
  [EventKind.FreeDisk]: defineEvent(EventKind.FreeDisk, { entryVm: id }),
  [EventKind.CorruptSegment]: defineEvent(EventKind.CorruptSegment, {
    entryVm: id,
    position: z.int().min(0),
  }),
} as const;

export type EventOf<K extends EventKind> = z.infer<(typeof EVENT_SCHEMAS)[K]>;

export type TraceEvent = { [K in EventKind]: EventOf<K> }[EventKind];
