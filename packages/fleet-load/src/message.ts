/** Worker id, online requests and batch items in progress. */
export type WorkerCount = [workerId: string, online: number, batch: number];

/** What an entry VM tells the others about its own work. */
export interface LoadMessage {
  entryVmId: string;
  /** Differs between two runs of a daemon. */
  bootId: string;
  sequence: number;
  /** True once a planned stop has begun. */
  isLeaving: boolean;
  /** Workers without work are left out. */
  workers: WorkerCount[];
}
