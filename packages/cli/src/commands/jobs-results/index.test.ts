import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { JobStatus } from '@jujubelanding/types';
import { ExitCode } from '../../exit-code.js';
import { addJobRoutes, createResultLine, TestJob } from '../../fixtures/job-routes.js';
import { runTool } from '../../fixtures/run-tool.js';
import { TestEntryVm } from '../../fixtures/test-entry-vm.js';

const ITEM_COUNT = 5;

const createLines = (from: number, to: number): string =>
  Array.from({ length: to - from }, (_, offset) => createResultLine(from + offset)).join('');

/** Starts an entry VM with one job; the given function creates the responses to result requests. */
const startEntryVm = async (
  t: { teardown: (end: () => Promise<void>) => void },
  createBody: (
    from: number,
    to: number,
    request: number,
    disconnect: () => void,
  ) => string | ReadableStream,
): Promise<{ entryVm: TestEntryVm; state: TestJob }> => {
  const [entryVm, state] = [new TestEntryVm(), new TestJob()];
  Object.assign(state.job, {
    status: JobStatus.Completed,
    itemCount: ITEM_COUNT,
    completedItems: ITEM_COUNT,
  });
  addJobRoutes(entryVm, state);
  let requests = 0;
  entryVm.route('GET', '/v1/batches/:id/results', ({ req, env }) => {
    requests += 1;
    const [from, to] = [Number(req.query('from')), Number(req.query('to'))];
    return new Response(createBody(from, to, requests, () => env.incoming.socket.destroy()));
  });
  await entryVm.start();
  t.teardown(() => entryVm.stop());
  return { entryVm, state };
};

/** Sends the text and then closes the connection before the end of the response. */
const createInterruptedStream = (text: string, disconnect: () => void): ReadableStream => {
  let isSent = false;
  return new ReadableStream({
    pull: (controller) => {
      if (isSent) disconnect();
      else controller.enqueue(new TextEncoder().encode(text));
      isSent = true;
    },
  });
};

const RESULTS = ['jobs', 'results', 'job-1'];

test('a stream that is interrupted within a result is resumed without gaps or duplicates', async (t) => {
  const { entryVm } = await startEntryVm(t, (from, to, request, disconnect) => {
    if (request === 1) return createLines(from, 3).slice(0, -20);
    return request === 2
      ? createInterruptedStream(createLines(from, 3), disconnect)
      : createLines(from, to);
  });
  const { code, stdout, stderr } = await runTool(RESULTS, [entryVm]);
  t.is(code, ExitCode.Ok);
  t.is(stdout, createLines(0, ITEM_COUNT));
  t.is(stderr, '5 results of 5 items, job completed\n');
  const paths = entryVm.requests.map(({ line }) => line).filter((line) => line.includes('results'));
  t.is(paths.length, 3);
  t.true(paths[1]?.endsWith('from=2&to=5'));
});

test('a range of results is read, and a range outside the job is a usage error', async (t) => {
  const { entryVm } = await startEntryVm(t, createLines);
  const range = await runTool([...RESULTS, '--from', '1', '--to', '3'], [entryVm]);
  t.is(range.stdout, createLines(1, 3));
  const outOfRange = await runTool([...RESULTS, '--to', '6'], [entryVm]);
  t.is(outOfRange.code, ExitCode.Usage);
});

test('missing, duplicate and out-of-range results of a completed job are failures', async (t) => {
  const bodies = [
    createLines(0, 4),
    createLines(0, 2) + createLines(3, 5),
    createLines(0, 2) + createLines(1, 5),
    createLines(0, 6),
  ];
  for (const body of bodies) {
    const { entryVm } = await startEntryVm(t, () => body);
    t.is((await runTool(RESULTS, [entryVm])).code, ExitCode.Failed);
  }
});

test('an open job has the results of its committed items', async (t) => {
  const { entryVm, state } = await startEntryVm(t, () => createLines(0, 1) + createLines(3, 4));
  state.job.status = JobStatus.Open;
  const { code, stderr } = await runTool(RESULTS, [entryVm]);
  t.is(code, ExitCode.Ok);
  t.is(stderr, '2 results of 5 items, job open\n');
});

test('a file appears only when its results are complete', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'results-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const { entryVm } = await startEntryVm(t, (from, to, request) =>
    createLines(from, request === 1 ? to - 1 : to),
  );
  const argv = [...RESULTS, '--output', join(folder, 'results.ndjson')];
  t.is((await runTool(argv, [entryVm])).code, ExitCode.Failed);
  t.deepEqual(await readdir(folder), []);
  t.is((await runTool(argv, [entryVm])).code, ExitCode.Ok);
  t.deepEqual(await readdir(folder), ['results.ndjson']);
  t.is(await readFile(join(folder, 'results.ndjson'), 'utf8'), createLines(0, ITEM_COUNT));
  const missingFolder = [...RESULTS, '--output', join(folder, 'none', 'results.ndjson')];
  t.is((await runTool(missingFolder, [entryVm])).code, ExitCode.Usage);
});
