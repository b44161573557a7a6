/** Runs a case: its record, its time limit and its exit code. */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { createWriteStream } from 'node:fs';
import console from 'node:console';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

const BROKEN = 1;
const NOT_RUN = 2;
const LIMIT_MS = 115_000;

export const hasTrouble = process.env.TROUBLE !== '0';

/** Opens `record.txt` beside the module; each line begins with the milliseconds since the start. */
export const openRecord = (moduleUrl) => {
  const file = path.join(path.dirname(fileURLToPath(moduleUrl)), 'record.txt');
  const stream = createWriteStream(file);
  const startedAt = performance.now();
  return {
    write: (line, at = performance.now()) => {
      stream.write(`${(at - startedAt).toFixed(0).padStart(7)} ${line}\n`);
    },
    close: () =>
      new Promise((resolve) => {
        stream.end(resolve);
      }),
  };
};

/**
 * Runs `play`, which resolves with the violations, and `close` in any case. Exits with 1 if there are
 * violations, with 0 if there are none, and with 2 if the case could not run.
 */
export const runCase = async (record, play, close) => {
  let code = NOT_RUN;
  const giveUp = () => {
    void close().finally(() => process.exit(NOT_RUN));
  };
  process.on('SIGTERM', giveUp).on('SIGINT', giveUp);
  const limit = setTimeout(() => {
    record.write('the time limit has passed');
    giveUp();
  }, LIMIT_MS);
  try {
    const violations = await play();
    violations.forEach((violation) => record.write(`VIOLATION ${violation}`));
    const verdict = violations.length > 0 ? 'broken' : 'held';
    record.write(`the rule was ${verdict}; disruption: ${hasTrouble ? 'yes' : 'no'}`);
    console.log(`the rule was ${verdict}`);
    violations.slice(0, 5).forEach((violation) => console.log(violation));
    code = violations.length > 0 ? BROKEN : 0;
  } catch (thrown) {
    record.write(`could not run: ${thrown.message}`);
    console.log(`could not run: ${thrown.message}`);
  }
  clearTimeout(limit);
  await close();
  await record.close();
  process.exit(code);
};
