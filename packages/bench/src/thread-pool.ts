/**
 * Runs independent tasks on worker threads. Runs are deterministic, so their order does not matter.
 */
import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';
import type { RunResult, RunRequest } from './cases/bench-case.js';

/** Leaves processor cores to other programs on larger machines. */
const MAX_THREADS = 6;

export interface RunTask extends RunRequest {
  caseName: string;
}

// On Node 20, worker threads do not inherit the TypeScript loader of the main thread.
const THREAD_SCRIPT = `
  import('tsx/esm/api').then(({ register }) => {
    register();
    return import(${JSON.stringify(new URL('./run-thread.ts', import.meta.url).href)});
  });
`;

const runInThread = (thread: Worker, task: RunTask): Promise<RunResult> =>
  new Promise((resolve, reject) => {
    thread.once('error', reject);
    thread.once('message', (result: RunResult) => {
      thread.off('error', reject);
      resolve(result);
    });
    thread.postMessage(task);
  });

/** Runs the tasks and returns their results in the order of the tasks. */
export const runTasks = async (tasks: readonly RunTask[]): Promise<RunResult[]> => {
  const results: RunResult[] = [];
  let next = 0;
  const runThread = async (): Promise<void> => {
    const thread = new Worker(THREAD_SCRIPT, { eval: true });
    while (next < tasks.length) {
      const position = next;
      next += 1;
      results[position] = await runInThread(thread, tasks[position]!);
    }
    await thread.terminate();
  };
  const threads = Math.min(MAX_THREADS, tasks.length, Math.max(1, availableParallelism() - 1));
  await Promise.all(Array.from({ length: threads }, runThread));
  return results;
};
