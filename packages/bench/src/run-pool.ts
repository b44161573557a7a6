/** Runs independent tasks on threads; each run is deterministic, so their order does not matter. */
import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';
import type { Run, RunRequest } from './cases/bench-case.js';

/** Leaves room for other programs on larger machines. */
const MAX_THREADS = 6;

export interface Task extends RunRequest {
  caseName: string;
}

// Threads don't inherit the TypeScript loader of the main thread on Node 20.
const START_SCRIPT = `
  import('tsx/esm/api').then(({ register }) => {
    register();
    return import(${JSON.stringify(new URL('./run-thread.ts', import.meta.url).href)});
  });
`;

const runOn = (worker: Worker, task: Task): Promise<Run> =>
  new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (run: Run) => {
      worker.off('error', reject);
      resolve(run);
    });
    worker.postMessage(task);
  });

/** Returns the run of each task, in the order of the tasks. */
export const runTasks = async (tasks: readonly Task[]): Promise<Run[]> => {
  const results: Run[] = [];
  let next = 0;
  const work = async (): Promise<void> => {
    const worker = new Worker(START_SCRIPT, { eval: true });
    while (next < tasks.length) {
      const position = next;
      next += 1;
      results[position] = await runOn(worker, tasks[position]!);
    }
    await worker.terminate();
  };
  const threads = Math.min(MAX_THREADS, tasks.length, Math.max(1, availableParallelism() - 1));
  await Promise.all(Array.from({ length: threads }, work));
  return results;
};
