/** Worker thread of the benchmark: runs one task per message and posts its result. */
import { parentPort } from 'node:worker_threads';
import { CASES } from './cases/index.js';
import type { RunTask } from './thread-pool.js';

parentPort?.on('message', ({ caseName, ...request }: RunTask) => {
  void CASES[caseName]!.run(request).then((result) => parentPort?.postMessage(result));
});
