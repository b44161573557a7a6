import { readdir, readFile } from 'node:fs/promises';
import test from 'ava';
import { ExitCode, replayText } from './replay-text.js';

const TRACES = new URL('../traces/', import.meta.url);

const names = (await readdir(TRACES)).filter((name) => name.endsWith('.ndjson'));

for (const name of names) {
  test.serial(`the outcomes of ${name} are as expected`, async (t) => {
    const text = await readFile(new URL(name, TRACES), 'utf8');
    const { lines, exitCode } = await replayText(name, text);
    t.deepEqual(
      lines.filter((line) => !line.startsWith('trace=')),
      [],
    );
    t.is(exitCode, ExitCode.AsExpected);
  });
}
