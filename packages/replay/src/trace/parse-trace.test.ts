import { readFile } from 'node:fs/promises';
import test from 'ava';
import { parseTrace } from './parse-trace.js';

const DOCUMENT = new URL('../../../../docs/traces.md', import.meta.url);

/** Reads the example in the documentation: a header, an event and an expectation. */
const readExample = async (): Promise<string[]> => {
  const document = await readFile(DOCUMENT, 'utf8');
  return /```\n(\{.*?)\n```/s.exec(document)![1]!.split('\n');
};

const pause = (at: number): string =>
  JSON.stringify({ kind: 'pauseEntryVm', id: `pause-${at}`, at, entryVm: 'entry-1' });

test('the documented example is a valid trace', async (t) => {
  const trace = parseTrace((await readExample()).join('\n')).unwrapOr(undefined);
  t.is(trace?.events.length, 1);
  t.is(trace?.expectations[0]!.line, 3);
});

interface InvalidCase {
  title: string;
  change: (lines: string[]) => string[];
  line: number;
  reason: RegExp;
}

const CASES: InvalidCase[] = [
  {
    title: 'a line that is not JSON',
    change: ([header, , ...rest]) => [header!, '{"kind":', ...rest],
    line: 2,
    reason: /^not JSON: /,
  },
  {
    title: 'an unknown kind of event',
    change: ([header, ...rest]) => [header!, '{"kind":"earthquake","id":"a","at":1}', ...rest],
    line: 2,
    reason: /^unknown kind earthquake, allowed: chat, /,
  },
  {
    title: 'an unknown kind of expectation',
    change: (lines) => [...lines, '{"expect":"luck","event":"unknown-team"}'],
    line: 4,
    reason: /^unknown expect luck, allowed: outcome, /,
  },
  {
    title: 'an expectation for an unknown event',
    change: (lines) => [...lines, '{"expect":"outcome","event":"nobody","outcome":"failed"}'],
    line: 4,
    reason: /^unknown event nobody$/,
  },
  {
    title: 'an expectation for an event of another kind',
    change: (lines) => [...lines, '{"expect":"yieldBound","event":"unknown-team","limitMs":100}'],
    line: 4,
    reason: /^event unknown-team is of kind chat, allowed: burst$/,
  },
  {
    title: 'an expectation for a key that no request has',
    change: (lines) => [...lines, '{"expect":"executions","key":"lost","atMost":1}'],
    line: 4,
    reason: /^no request has the key lost$/,
  },
  {
    title: 'an event earlier than the previous one, counting an empty line between them',
    change: ([header, ...rest]) => [header!, pause(500), '', pause(499), ...rest],
    line: 4,
    reason: /^time goes back: at 499 follows 500$/,
  },
  {
    title: 'an event after the end of the trace',
    change: ([header, ...rest]) => [header!, pause(10_001), ...rest],
    line: 2,
    reason: /^at 10001 is after durationMs 10000$/,
  },
  {
    title: 'an id that is used twice',
    change: ([header, ...rest]) => [header!, pause(1), pause(1), ...rest],
    line: 3,
    reason: /^event id pause-1 is used twice$/,
  },
  {
    title: 'an unknown entry VM',
    change: ([header, event, ...rest]) => [header!, event!.replace('entry-0', 'entry-3'), ...rest],
    line: 2,
    reason: /^field via: unknown entry VM entry-3$/,
  },
  {
    title: 'a misspelt field',
    change: ([header, event, ...rest]) => [header!, event!.replace('"via"', '"vya"'), ...rest],
    line: 2,
    reason: /via: .*vya/,
  },
  {
    title: 'an event after the expectations',
    change: (lines) => [...lines, pause(500)],
    line: 4,
    reason: /^an event follows the expectations$/,
  },
  {
    title: 'a header of another format version',
    change: ([header, ...rest]) => [header!.replace('"format":1', '"format":2'), ...rest],
    line: 1,
    reason: /^header: format: /,
  },
  {
    title: 'a trace without expectations',
    change: ([header, event]) => [header!, event!],
    line: 2,
    reason: /^no expectation follows$/,
  },
  { title: 'an empty trace', change: () => [], line: 1, reason: /^the trace is empty$/ },
];

for (const { title, change, line, reason } of CASES) {
  test(`reports the line and reason of ${title}`, async (t) => {
    const trace = parseTrace(change(await readExample()).join('\n'));
    const fault = trace.match(
      () => undefined,
      (error) => error,
    );
    t.is(fault?.line, line);
    t.regex(fault?.reason ?? '', reason);
  });
}
