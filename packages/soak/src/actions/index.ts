/** Maps each kind of step to its handler. */
import { StepKind, type Step } from '../step.js';
import type { SoakHarness } from '../soak-harness.js';
import { cancelJob, readResults, resendJob, submitJob } from './batch.js';
import * as faults from './faults.js';
import { startChat, startChatBurst, placeOrder, retryOrder } from './online.js';
import { applyRecord, raceRecord } from './operators.js';
import * as outages from './outages.js';
import { scalePlacement } from './placement.js';

export const STEP_HANDLERS: Record<StepKind, (harness: SoakHarness, step: Step) => void> = {
  [StepKind.Chat]: startChat,
  [StepKind.ChatBurst]: startChatBurst,
  [StepKind.Order]: placeOrder,
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
  [StepKind.StoreDown]: faults.failStore,
  [StepKind.StoreSlow]: faults.slowDownStore,
  [StepKind.StoreLossy]: faults.makeStoreLossy,
  [StepKind.StoreUp]: faults.restoreStore,
  [StepKind.LoseDatagrams]: faults.loseDatagrams,
  [StepKind.CrashWorker]: faults.crashWorker,
  [StepKind.PauseWorker]: faults.pauseWorker,
  [StepKind.BreakStreams]: faults.breakStreams,
  [StepKind.RestoreWorkers]: faults.restoreWorkers,
  [StepKind.LeaveWorker]: faults.markWorkerLeaving,
  [StepKind.FillDisk]: faults.fillDisk,
  [StepKind.CorruptSegment]: faults.corruptSegment,
  [StepKind.SlowStoreWithoutZone]: outages.loseZoneWithSlowStore,
  [StepKind.PartitionRegions]: outages.partitionRegions,
  [StepKind.LoseTwoDisks]: outages.loseTwoDisks,
  [StepKind.ScalePlacement]: scalePlacement,
  [StepKind.WeightsSlow]: outages.slowDownWeightStore,
  [StepKind.WeightsRefuse]: outages.refuseWeightRequests,
  [StepKind.WeightsDown]: outages.cutWeightStore,
  [StepKind.WeightsUp]: faults.restoreWeightStore,
};
