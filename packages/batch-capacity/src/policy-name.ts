/** Policies that divide the slots of a worker. */
export enum CapacityPolicyName {
  /** Reserves slots for online bursts and uses the rest for batch work. */
  Adaptive = 'adaptive',
  /** Batch work fills all slots regardless of online requests. */
  Fifo = 'fifo',
  StaticSplit = 'staticSplit',
  OnlineOnly = 'onlineOnly',
  BatchOnly = 'batchOnly',
}
