/** Maps each kind of event to its handler. */
import { EventKind, type EventOf, type TraceEvent } from '../trace/events.js';
import type { ReplayHarness } from '../replay-harness.js';
import * as callers from './callers.js';
import * as faults from './faults.js';
import * as jobs from './jobs.js';
import { writeRecord } from './operators.js';

type EventHandlers = { [K in EventKind]: (harness: ReplayHarness, event: EventOf<K>) => void };

const EVENT_HANDLERS: EventHandlers = {
  [EventKind.Chat]: callers.startChat,
  [EventKind.Burst]: callers.startBurst,
  [EventKind.Call]: callers.startCall,
  [EventKind.Submit]: jobs.submit,
  [EventKind.Resend]: jobs.resend,
  [EventKind.Cancel]: jobs.cancel,
  [EventKind.ReadResults]: jobs.readResults,
  [EventKind.WriteRecord]: writeRecord,
  [EventKind.CrashEntryVm]: faults.crashEntryVm,
  [EventKind.StartEntryVm]: faults.startEntryVm,
  [EventKind.StopEntryVm]: faults.stopEntryVm,
  [EventKind.PauseEntryVm]: faults.pauseEntryVm,
  [EventKind.ResumeEntryVm]: faults.resumeEntryVm,
  [EventKind.CutLink]: faults.cutLink,
  [EventKind.HealLink]: faults.healLink,
  [EventKind.LoseZone]: faults.loseZone,
  [EventKind.RestoreZone]: faults.restoreZone,
  [EventKind.KeyValueDown]: faults.failKeyValueService,
  [EventKind.KeyValueSlow]: faults.slowDownKeyValueService,
  [EventKind.KeyValueLossy]: faults.makeKeyValueServiceLossy,
  [EventKind.KeyValueUp]: faults.restoreKeyValueService,
  [EventKind.CrashWorker]: faults.crashWorker,
  [EventKind.RestartWorker]: faults.restartWorker,
  [EventKind.SlowWorker]: faults.slowDownWorker,
  [EventKind.LeaveWorker]: faults.markWorkerLeaving,
  [EventKind.ReturnWorker]: faults.markWorkerLive,
  [EventKind.FillDisk]: faults.fillDisk,
  [EventKind.FreeDisk]: faults.freeDisk,
  [EventKind.CorruptSegment]: faults.corruptSegment,
};

/** Runs the handler of an event. */
export const runEvent = (harness: ReplayHarness, event: TraceEvent): void => {
  const run = EVENT_HANDLERS[event.kind] as (harness: ReplayHarness, event: TraceEvent) => void;
  run(harness, event);
};
