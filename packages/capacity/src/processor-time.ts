/** Measures processor time and memory of this process. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const MICROSECONDS_PER_MS = 1000;

/** Minimum processor time of a measurement; below it clock noise would dominate. */
const MIN_MEASURED_MS = 60;

const ROUND_COUNT = 5;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Reads the processor time in milliseconds of all threads of the process, including garbage
 * collection.
 */
export const readProcessorMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
};

/** Runs an operation once and returns its processor time in milliseconds. */
export const measureOnceMs = async (operation: () => unknown): Promise<number> => {
  collectGarbage();
  const start = readProcessorMs();
  await operation();
  return readProcessorMs() - start;
};

/**
 * Returns the processor time per operation in microseconds. It is the median of several rounds, so
 * that the JIT compilation in the first round does not count.
 */
export const measurePerOperation = async (
  operation: (index: number) => unknown,
  minMs = MIN_MEASURED_MS,
): Promise<number> => {
  const rounds: number[] = [];
  let count = 1;
  while (rounds.length < ROUND_COUNT) {
    const operations = count;
    const elapsedMs = await measureOnceMs(async () => {
      for (let index = 0; index < operations; index += 1) await operation(index);
    });
    if (elapsedMs < minMs) count *= 2;
    else rounds.push((elapsedMs * MICROSECONDS_PER_MS) / operations);
  }
  return rounds.toSorted((a, b) => a - b)[Math.floor(ROUND_COUNT / 2)]!;
};

/** Like `measurePerOperation`, without the cost of one promise per operation. */
export const measureSynchronous = (operation: (index: number) => void): Promise<number> => {
  const batchSize = 20;
  return measurePerOperation((round) => {
    for (let index = 0; index < batchSize; index += 1) operation(round * batchSize + index);
  }).then((value) => value / batchSize);
};

/** Returns the heap bytes that the built object retains. */
export const measureHeapBytes = async <T>(build: () => T | Promise<T>): Promise<number> => {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const kept = await build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Uses the object after the measurement, so that it is not garbage-collected earlier.
  return kept === undefined ? 0 : after - before;
};
