/** Worker id, online requests in progress, and the due times of batch items in progress. */
export type WorkerCount = [workerId: string, online: number, batchDue: number[]];

/** Number of a service's batch items with the same due time that wait for a worker. */
export type WaitingCount = [service: string, dueAt: number, items: number];

/** State that an entry VM sends to all others. Due times are epoch milliseconds. */
export interface LoadMessage {
  entryVmId: string;
  /** Unique to each run of a daemon. */
  bootId: string;
  sequence: number;
  /** True once a planned stop has begun. */
  isLeaving: boolean;
  /** Workers without work are omitted. */
  workers: WorkerCount[];
  waiting: WaitingCount[];
}
