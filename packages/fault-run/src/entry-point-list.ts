/** Chooses entry VMs for the load generators and repeats their requests in parallel. */
import type { Program } from '@jujubelanding/quickstart';

/** Entry VMs that callers use, and those currently affected by a fault. */
export class EntryPointList {
  /** Ids of entry VMs whose callers may see broken connections. */
  readonly affectedEntryVms = new Set<string>();

  private next = 0;

  constructor(private readonly entryVms: () => readonly Program[]) {}

  /** Returns the entry VMs in turn, including affected ones, because callers do not know of the fault. */
  chooseNext(): Program {
    const entryVms = this.entryVms().filter(({ isListening }) => isListening);
    this.next += 1;
    return entryVms[this.next % entryVms.length]!;
  }
}

/** Runs a task repeatedly in parallel loops; the returned function stops them. */
export const repeatInParallel = (
  concurrency: number,
  task: () => Promise<void>,
): (() => Promise<void>) => {
  let isStopped = false;
  const loop = async (): Promise<void> => {
    while (!isStopped) await task();
  };
  const loops = Array.from({ length: concurrency }, loop);
  return async () => {
    isStopped = true;
    await Promise.all(loops);
  };
};
