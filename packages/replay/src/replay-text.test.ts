import { readFile } from 'node:fs/promises';
import test from 'ava';
import { ExpectationKind } from './trace/expectations.js';
import { parseTrace, type Trace } from './trace/parse-trace.js';
import { ExitCode, replayText } from './replay-text.js';
import { runTrace } from './run-trace.js';

const TRACES = new URL('../traces/', import.meta.url);

const read = (name: string): Promise<string> => readFile(new URL(name, TRACES), 'utf8');

const parse = async (name: string): Promise<Trace> => {
  const trace = parseTrace(await read(name));
  if (trace.isErr()) throw new Error(`line ${trace.error.line}: ${trace.error.reason}`);
  return trace.value;
};

const HEADER = {
  format: 1,
  name: 'short',
  source: 'hand',
  description: 'One chat without a team',
  seed: 1,
  region: 'za-gauteng',
  availabilityZones: ['jhb-east'],
  localDelayMs: 0.5,
  remoteDelayMs: 1.5,
  callerDelayMs: 1,
  vmListLagMs: 300,
  keyValueLatency: { floorMs: 1, meanExtraMs: 1 },
  entryVms: { count: 1, disks: 1 },
  services: [
    { name: 'advisor', kind: 'modelEngine', workers: 1, slots: 1, fencing: 'checked', models: [] },
  ],
  records: [],
  teamKey: 'unknown',
  durationMs: 1000,
};

const CHAT = {
  kind: 'chat',
  id: 'question',
  at: 1,
  via: 'entry-0',
  model: 'm',
  prompt: 'Hello',
  maxTokens: 1,
};

const format = (...lines: object[]): string => lines.map((line) => JSON.stringify(line)).join('\n');

test('a wrong expectation is reported with expected and actual values', async (t) => {
  const right = { expect: 'outcome', event: 'question', outcome: 'not-run', status: 401 };
  const wrong = { expect: 'outcome', event: 'question', outcome: 'succeeded', status: [200, 201] };
  const report = await replayText('short.ndjson', format(HEADER, CHAT, right, wrong));
  t.is(report.exitCode, ExitCode.Different);
  t.deepEqual(report.lines, [
    'short.ndjson:4: expect=outcome event=question ' +
      'expected outcome=succeeded status=200|201 actual outcome=not-run status=401',
    'trace=short events=1 expectations=2 differences=1',
  ]);
});

test('an invalid trace is reported by file, line and reason', async (t) => {
  const report = await replayText('short.ndjson', format(HEADER, CHAT, { expect: 'none' }));
  t.is(report.exitCode, ExitCode.Invalid);
  t.regex(report.lines[0]!, /^short\.ndjson:3: unknown expect none/);
});

test.serial('a planned stop that cuts off requests is reported as a difference', async (t) => {
  const trace = await parse('planned-stop.ndjson');
  const { differences } = await runTrace(trace, {
    prepare: ({ entryVm, connections, host }) => {
      entryVm.stop = async () => {
        connections.clear();
        host.crash();
      };
    },
  });
  t.true(differences.some(({ expectation }) => expectation.expect === ExpectationKind.PlannedStop));
});

test.serial('a cancel that has no effect is reported as a difference', async (t) => {
  const trace = await parse('racing-operators.ndjson');
  const { differences } = await runTrace(trace, {
    prepare: ({ entryVm }) => {
      const { batchJobs } = entryVm.components;
      batchJobs.cancel = (jobId) => batchJobs.get(jobId);
    },
  });
  t.true(differences.some(({ expectation }) => expectation.expect === ExpectationKind.CancelBound));
});
