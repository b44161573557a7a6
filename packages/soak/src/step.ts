/** Steps of a run: actions of callers and operators, and injected faults. */
import fc from 'fast-check';

/** Kinds of steps; `Store` is the key-value service and `Weights` the weight store. */
export enum StepKind {
  Chat = 'chat',
  ChatBurst = 'chatBurst',
  Order = 'order',
  RetryOrder = 'retryOrder',
  SubmitJob = 'submitJob',
  ResendJob = 'resendJob',
  CancelJob = 'cancelJob',
  ReadResults = 'readResults',
  ApplyRecord = 'applyRecord',
  RaceRecord = 'raceRecord',
  CrashEntryVm = 'crashEntryVm',
  StartEntryVm = 'startEntryVm',
  StopEntryVm = 'stopEntryVm',
  PauseEntryVm = 'pauseEntryVm',
  CutOneWay = 'cutOneWay',
  IsolateZone = 'isolateZone',
  HealLinks = 'healLinks',
  CutStore = 'cutStore',
  StoreDown = 'storeDown',
  StoreSlow = 'storeSlow',
  StoreLossy = 'storeLossy',
  StoreUp = 'storeUp',
  LoseDatagrams = 'loseDatagrams',
  CrashWorker = 'crashWorker',
  PauseWorker = 'pauseWorker',
  BreakStreams = 'breakStreams',
  RestoreWorkers = 'restoreWorkers',
  LeaveWorker = 'leaveWorker',
  FillDisk = 'fillDisk',
  CorruptSegment = 'corruptSegment',
  SlowStoreWithoutZone = 'slowStoreWithoutZone',
  PartitionRegions = 'partitionRegions',
  LoseTwoDisks = 'loseTwoDisks',
  ScalePlacement = 'scalePlacement',
  WeightsSlow = 'weightsSlow',
  WeightsRefuse = 'weightsRefuse',
  WeightsDown = 'weightsDown',
  WeightsUp = 'weightsUp',
}

export interface Step {
  kind: StepKind;
  /** Selects the VM, worker, zone or other object that the step acts on. */
  target: number;
  /** Selects the size or variant of the action. */
  amount: number;
  /** Virtual time until the next step. */
  waitMs: number;
}

/** Relative frequency of each kind; actions of callers are far more frequent than faults. */
const STEP_WEIGHTS: Record<StepKind, number> = {
  [StepKind.Chat]: 30,
  [StepKind.ChatBurst]: 4,
  [StepKind.Order]: 8,
  [StepKind.RetryOrder]: 4,
  [StepKind.SubmitJob]: 4,
  [StepKind.ResendJob]: 2,
  [StepKind.CancelJob]: 1,
  [StepKind.ReadResults]: 5,
  [StepKind.ApplyRecord]: 4,
  [StepKind.RaceRecord]: 2,
  [StepKind.CrashEntryVm]: 1,
  [StepKind.StartEntryVm]: 4,
  [StepKind.StopEntryVm]: 1,
  [StepKind.PauseEntryVm]: 1,
  [StepKind.CutOneWay]: 1,
  [StepKind.IsolateZone]: 1,
  [StepKind.HealLinks]: 5,
  [StepKind.CutStore]: 1,
  [StepKind.StoreDown]: 1,
  [StepKind.StoreSlow]: 1,
  [StepKind.StoreLossy]: 1,
  [StepKind.StoreUp]: 8,
  [StepKind.LoseDatagrams]: 1,
  [StepKind.CrashWorker]: 1,
  [StepKind.PauseWorker]: 1,
  [StepKind.BreakStreams]: 3,
  [StepKind.RestoreWorkers]: 4,
  [StepKind.LeaveWorker]: 2,
  [StepKind.FillDisk]: 1,
  [StepKind.CorruptSegment]: 1,
  [StepKind.SlowStoreWithoutZone]: 1,
  [StepKind.PartitionRegions]: 1,
  [StepKind.LoseTwoDisks]: 3,
  [StepKind.ScalePlacement]: 2,
  [StepKind.WeightsSlow]: 1,
  [StepKind.WeightsRefuse]: 1,
  [StepKind.WeightsDown]: 1,
  [StepKind.WeightsUp]: 2,
};

const MAX_WAIT_MS = 400;

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.oneof(
    ...Object.values(StepKind).map((kind) => ({
      weight: STEP_WEIGHTS[kind],
      arbitrary: fc.constant(kind),
    })),
  ),
  target: fc.nat(1_000_000),
  amount: fc.nat(1_000_000),
  waitMs: fc.integer({ min: 1, max: MAX_WAIT_MS }),
});

/** Generates the steps of a seed; the same seed and count always give the same steps. */
export const createSteps = (seed: number, count: number): Step[] =>
  fc.sample(fc.array(stepArbitrary, { minLength: count, maxLength: count, size: 'max' }), {
    seed,
    numRuns: 1,
  })[0]!;
