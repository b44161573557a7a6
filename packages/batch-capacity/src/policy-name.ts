/** Policies that divide the slots of a worker. */
export enum CapacityPolicyName {
  /** Leaves slots for online bursts and gives the rest to batch work. */
  Adaptive = 'adaptive',
  /** Batch work fills all slots regardless of online requests. */
  Fifo = 'fifo',
  StaticSplit = 'staticSplit',
  OnlineOnly = 'onlineOnly',
  BatchOnly = 'batchOnly',
}
