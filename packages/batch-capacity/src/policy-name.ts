/** Policies that divide the slots of a worker. */
export enum CapacityPolicyName {
  /** Reserves slots for online bursts and uses the rest for batch work. */
  Adaptive = 'adaptive',
  /** Batch work fills all slots regardless of online requests. */
  Fifo = 'fifo',
  /** Batch work may use a fixed share of the slots. */
  StaticSplit = 'staticSplit',
  /** No batch work runs. */
  OnlineOnly = 'onlineOnly',
  /** Batch work may use all slots. */
  BatchOnly = 'batchOnly',
}
