import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import test from 'ava';
import { ExitCode } from '../../exit-code.js';
import { addJobRoutes, TestJob } from '../../fixtures/job-routes.js';
import { runTool, SelfAdvancingTimer } from '../../fixtures/run-tool.js';
import { FaultKind, TestEntryVm } from '../../fixtures/test-entry-vm.js';

const ITEM = { messages: [{ role: 'user', content: 'match sheet' }], maxTokens: 20 };
const FILE = ['i0', 'i1', 'i2']
  .map((itemId) => `${JSON.stringify({ itemId, ...ITEM })}\n`)
  .join('');
const SUBMIT = ['jobs', 'submit', '-', '--model', 'advisor'];

const startEntryVm = async (t: {
  teardown: (end: () => Promise<void>) => void;
}): Promise<{ entryVm: TestEntryVm; state: TestJob }> => {
  const [entryVm, state] = [new TestEntryVm(), new TestJob()];
  addJobRoutes(entryVm, state);
  await entryVm.start();
  t.teardown(() => entryVm.stop());
  return { entryVm, state };
};

test('a submission whose reply was lost is resent completely under its key and creates one job', async (t) => {
  const { entryVm, state } = await startEntryVm(t);
  entryVm.injectFault('POST', FaultKind.DropReply);
  const result = await runTool(SUBMIT, [entryVm], { input: FILE });
  t.snapshot(result);
  t.is(state.created, 1);
  t.is(state.body, FILE);
  t.is(new Set(entryVm.requests.map(({ id }) => id)).size, 1);
  t.is(entryVm.requests.length, 2);
});

test('the key and all fields of the job are sent', async (t) => {
  const { entryVm } = await startEntryVm(t);
  const argv = [...SUBMIT, '--adapter', 'a b', '--due-in', '2h', '--idempotency-key', 'sheet-7'];
  t.is((await runTool(argv, [entryVm], { input: FILE })).code, ExitCode.Ok);
  const line = 'POST /v1/batches?dueInMs=7200000&model=advisor&adapter=a+b';
  t.deepEqual(entryVm.requests, [{ line, id: 'sheet-7' }]);
});

test('waiting ends with the job, and the exit code reports failed items or the time limit', async (t) => {
  const { entryVm, state } = await startEntryVm(t);
  const timer = new SelfAdvancingTimer();
  timer.every(2000, () => state.completeItems(1, 1));
  const argv = [...SUBMIT, '--wait', '--idempotency-key', 'k', '--timeout'];
  const timedOut = await runTool([...argv, '1500ms'], [entryVm], { input: FILE, timer });
  t.is(timedOut.code, ExitCode.TimedOut);
  // A temporarily unavailable entry VM must not end the wait.
  entryVm.injectFault('GET', FaultKind.RefuseNotRun);
  const ended = await runTool([...argv, '1h'], [entryVm], { input: FILE, timer });
  t.is(ended.code, ExitCode.Failed);
  t.snapshot(ended.stdout);
});

test('waiting ends with not-found when the job no longer exists, instead of polling forever', async (t) => {
  const { entryVm, state } = await startEntryVm(t);
  const timer = new SelfAdvancingTimer();
  timer.after(1500, () => {
    state.job.id = 'job-2';
  });
  const { code } = await runTool([...SUBMIT, '--wait'], [entryVm], { input: FILE, timer });
  t.is(code, ExitCode.NotFound);
});

test('the progress bar is drawn only on a terminal', async (t) => {
  const { entryVm, state } = await startEntryVm(t);
  const terminal = Object.assign(new PassThrough(), { isTTY: true });
  const timer = new SelfAdvancingTimer();
  // Failed items are included in the completed ones; adding them again would exceed 100%.
  timer.every(500, () => state.completeItems(1, state.job.failedItems === 0 ? 1 : 0));
  const argv = [...SUBMIT, '--wait'];
  const { code, stderr } = await runTool(argv, [entryVm], { input: FILE, timer, terminal });
  t.is(code, ExitCode.Failed);
  terminal.end();
  const drawn = await text(terminal);
  t.regex(drawn, / 0% 0\/3 items[^]* 100% 3\/3 items/);
  t.notRegex(drawn, /[4-9]\/3/);
  t.notRegex(stderr, /%/);
});

test('invalid items and flags are reported together before anything is sent', async (t) => {
  const { entryVm } = await startEntryVm(t);
  const items = [
    { itemId: 'i0', ...ITEM },
    { itemId: 'i0', ...ITEM },
    { itemId: '', mesages: [] },
  ];
  const input = items.map((item) => JSON.stringify(item)).join('\n\n');
  const invalidItems = await runTool(SUBMIT, [entryVm], { input });
  const empty = await runTool(SUBMIT, [entryVm], { input: '\n' });
  const argv = [...SUBMIT, '--job', 'nightly', '--due-in', '2', '--idempotency-key', 'a b'];
  const invalidFlags = await runTool(argv, [entryVm], { input: FILE });
  t.deepEqual([invalidItems.code, empty.code, invalidFlags.code], [2, 2, 2]);
  t.snapshot([invalidItems.stderr, empty.stderr, invalidFlags.stderr]);
  t.deepEqual(entryVm.requests, []);
});

test('jobs are listed, shown and cancelled', async (t) => {
  const { entryVm } = await startEntryVm(t);
  entryVm.injectFault('POST', FaultKind.DropReply);
  t.snapshot((await runTool(['jobs', 'list'], [entryVm])).stdout);
  t.is((await runTool(['jobs', 'show', 'job-2'], [entryVm])).code, ExitCode.NotFound);
  const cancelled = await runTool(['jobs', 'cancel', 'job-1', '--json'], [entryVm]);
  t.is(JSON.parse(cancelled.stdout).status, 'cancelled');
});
