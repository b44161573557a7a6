/** Handler of each kind of event. */
import { EventKind, type EventOf, type TraceEvent } from '../trace/events.js';
import type { World } from '../world.js';
import * as callers from './callers.js';
import * as faults from './faults.js';
import * as jobs from './jobs.js';
import { writeRecord } from './operators.js';

type Actions = { [K in EventKind]: (world: World, event: EventOf<K>) => void };

const ACTIONS: Actions = {
  [EventKind.Chat]: callers.chat,
  [EventKind.Burst]: callers.burst,
  [EventKind.Call]: callers.call,
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
  [EventKind.KeyValueDown]: faults.keyValueDown,
  [EventKind.KeyValueSlow]: faults.keyValueSlow,
  [EventKind.KeyValueLossy]: faults.keyValueLossy,
  [EventKind.KeyValueUp]: faults.keyValueUp,
  [EventKind.CrashWorker]: faults.crashWorker,
  [EventKind.RestartWorker]: faults.restartWorker,
  [EventKind.SlowWorker]: faults.slowWorker,
  [EventKind.LeaveWorker]: faults.leaveWorker,
  [EventKind.ReturnWorker]: faults.returnWorker,
  [EventKind.FillDisk]: faults.fillDisk,
  [EventKind.FreeDisk]: faults.freeDisk,
  [EventKind.CorruptSegment]: faults.corruptSegment,
};

/** Does what an event says. */
export const runEvent = (world: World, event: TraceEvent): void => {
  const run = ACTIONS[event.kind] as (world: World, event: TraceEvent) => void;
  run(world, event);
};
