/** What the loads of a run share. */
import type { Program } from '@jujubelanding/quickstart';

/** Entry VMs that callers use, and those that a fault affects at the moment. */
export class EntryPointList {
  /** Ids of entry VMs whose callers may see broken connections. */
  readonly affectedEntryVms = new Set<string>();

  private next = 0;

  constructor(private readonly entryVms: () => readonly Program[]) {}

  /** Entry VMs in turn; those that are affected stay in the list, as callers do not know. */
  chooseNext(): Program {
    const entryVms = this.entryVms().filter(({ isListening }) => isListening);
    this.next += 1;
    return entryVms[this.next % entryVms.length]!;
  }
}

/** Runs a task again and again in parallel until told to stop. */
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
