/** Handler of each kind of step. */
import { StepKind, type Step } from '../step.js';
import type { World } from '../world.js';
import { cancelJob, readResults, resendJob, submitJob } from './batch.js';
import * as faults from './faults.js';
import { chat, chatBurst, order, retryOrder } from './online.js';
import { applyRecord, raceRecord } from './operators.js';
import * as outages from './outages.js';
import { scalePlacement } from './placement.js';

export const ACTIONS: Record<StepKind, (world: World, step: Step) => void> = {
  [StepKind.Chat]: chat,
  [StepKind.ChatBurst]: chatBurst,
  [StepKind.Order]: order,
  [StepKind.RetryOrder]: retryOrder,
  [StepKind.SubmitJob]: submitJob,
  [StepKind.ResendJob]: resendJob,
  [StepKind.CancelJob]: cancelJob,
  [StepKind.ReadResults]: readResults,
  [StepKind.ApplyRecord]: applyRecord,
  [StepKind.RaceRecord]: raceRecord,
  [StepKind.CrashEntryVm]: faults.crashEntryVm,
  [StepKind.StartEntryVm]: faults.startEntryVm,
  [StepKind.StopEntryVm]: faults.stopEntryVm,
  [StepKind.PauseEntryVm]: faults.pauseEntryVm,
  [StepKind.CutOneWay]: faults.cutOneWay,
  [StepKind.IsolateZone]: faults.isolateZone,
  [StepKind.HealLinks]: faults.healLinks,
  [StepKind.CutStore]: faults.cutStore,
  [StepKind.StoreDown]: faults.storeDown,
  [StepKind.StoreSlow]: faults.storeSlow,
  [StepKind.StoreLossy]: faults.storeLossy,
  [StepKind.StoreUp]: faults.storeUp,
  [StepKind.LoseDatagrams]: faults.loseDatagrams,
  [StepKind.CrashWorker]: faults.crashWorker,
  [StepKind.PauseWorker]: faults.pauseWorker,
  [StepKind.BreakStreams]: faults.breakStreams,
  [StepKind.RestoreWorkers]: faults.restoreWorkers,
  [StepKind.LeaveWorker]: faults.leaveWorker,
  [StepKind.FillDisk]: faults.fillDisk,
  [StepKind.CorruptSegment]: faults.corruptSegment,
  [StepKind.SlowStoreWithoutZone]: outages.slowStoreWithoutZone,
  [StepKind.PartitionRegions]: outages.partitionRegions,
  [StepKind.LoseTwoDisks]: outages.loseTwoDisks,
  [StepKind.ScalePlacement]: scalePlacement,
  [StepKind.WeightsSlow]: outages.weightsSlow,
  [StepKind.WeightsRefuse]: outages.weightsRefuse,
  [StepKind.WeightsDown]: outages.weightsDown,
  [StepKind.WeightsUp]: faults.weightsUp,
};
