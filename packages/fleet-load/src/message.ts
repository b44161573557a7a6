/** Worker id, online requests in progress, and the due times of batch items in progress. */
export type WorkerCount = [workerId: string, online: number, batchDue: number[]];

/** Batch items of one due time that wait for a worker. */
export type WaitingCount = [service: string, dueAt: number, items: number];

/** What an entry VM tells the others about its own work. Due times are epoch milliseconds. */
export interface LoadMessage {
  entryVmId: string;
  /** Differs between two runs of a daemon. */
  bootId: string;
  sequence: number;
  /** True once a planned stop has begun. */
  isLeaving: boolean;
  /** Workers without work are left out. */
  workers: WorkerCount[];
  waiting: WaitingCount[];
}
