import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { RecordKind } from '@jujubelanding/types';
import { ExitCode } from './exit-code.js';
import { addRecordRoutes, TestRecords } from './fixtures/record-routes.js';
import { runTool, SelfAdvancingTimer } from './fixtures/run-tool.js';
import { FaultKind, createProblemResponse, TestEntryVm } from './fixtures/test-entry-vm.js';

// Port 1 is reserved and refuses connections.
const UNREACHABLE = { address: '127.0.0.1:1' };

const startEntryVm = async (
  t: { teardown: (end: () => Promise<void>) => void },
  records = new TestRecords(),
): Promise<TestEntryVm> => {
  const entryVm = new TestEntryVm();
  addRecordRoutes(entryVm, records);
  await entryVm.start();
  t.teardown(() => entryVm.stop());
  return entryVm;
};

const LIST = ['list', 'version'];

test('the next entry VM is tried after a refused connection and after a rejection with outcome not-run', async (t) => {
  const [first, second] = [await startEntryVm(t), await startEntryVm(t)];
  first.injectFault('GET', FaultKind.RefuseNotRun);
  t.is((await runTool(LIST, [UNREACHABLE, first, second])).code, ExitCode.Ok);
  t.is(second.requests.length, 1);
});

test('when no entry VM accepts the request, the outcome is not-run', async (t) => {
  const first = await startEntryVm(t);
  first.injectFault('GET', FaultKind.RefuseNotRun);
  t.is((await runTool(LIST, [UNREACHABLE, first])).code, ExitCode.NotRun);
  t.is(first.requests.length, 1);
});

test('a rejection that every entry VM would repeat is not retried on another one', async (t) => {
  const second = await startEntryVm(t);
  for (const [code, exitCode] of [
    [FaultCode.Unauthorized, ExitCode.Unauthorized],
    [FaultCode.NotFound, ExitCode.NotFound],
    [FaultCode.InvalidInput, ExitCode.Usage],
    [FaultCode.KeyReused, ExitCode.Conflict],
    [FaultCode.RateLimited, ExitCode.NotRun],
  ] as const) {
    const first = new TestEntryVm();
    first.route('GET', '/admin/v1/records/version', () =>
      createProblemResponse(code, Outcome.NotRun),
    );
    await first.start();
    t.teardown(() => first.stop());
    t.is((await runTool(LIST, [first, second])).code, exitCode);
  }
  t.deepEqual(second.requests, []);
});

test('a request to a hanging entry VM ends at the time limit with an unknown outcome', async (t) => {
  const first = await startEntryVm(t);
  const timer = new SelfAdvancingTimer();
  first.injectFault('GET', FaultKind.Hang);
  first.onHang = () => {
    void timer.advance(5000);
  };
  const { code, stderr } = await runTool([...LIST, '--timeout', '5s'], [first], { timer });
  t.is(code, ExitCode.OutcomeUnknown);
  t.regex(stderr, /no response in time/);
});

test('a proxy response without problem details is inconclusive, and the request is repeated', async (t) => {
  const first = await startEntryVm(t);
  first.injectFault('GET', FaultKind.ErrorWithoutProblem);
  t.is((await runTool(LIST, [first])).code, ExitCode.Ok);
  t.is(first.requests.length, 2);
});

test('a read whose reply was lost is repeated, and the second response is conclusive', async (t) => {
  const first = await startEntryVm(t);
  first.injectFault('GET', FaultKind.DropReply);
  t.is((await runTool(['get', 'version', 'v1'], [first])).code, ExitCode.NotFound);
});

test('a truncated response is not treated as complete', async (t) => {
  const first = new TestEntryVm();
  first.route('GET', '/admin/v1/records/version', () => new Response('{"records":['));
  await first.start();
  t.teardown(() => first.stop());
  t.is((await runTool(LIST, [first])).code, ExitCode.OutcomeUnknown);
});

test('records are shown as tables, or as JSON with --json', async (t) => {
  const records = new TestRecords();
  const first = await startEntryVm(t, records);
  records.put({ kind: RecordKind.Version, name: 'v1', schemaVersion: 1, spec: { weight: 'w1' } });
  records.put({ kind: RecordKind.Version, name: 'v20', schemaVersion: 1, spec: { weight: 'w2' } });
  first.route('GET', '/admin/v1/status', () =>
    Response.json({
      acceptedRevision: 12,
      inForceEverywhere: false,
      since: '2026-01-01T00:00:00.000Z',
      invalidRecords: [{ kind: 'team', name: 'a', revision: 4 }],
      entryVms: [
        {
          entryVmId: 'vm-1',
          availabilityZone: 'hofn-a',
          state: 'alive',
          heldRevision: 12,
          activeRevision: 12,
        },
        {
          entryVmId: 'vm-2',
          availabilityZone: 'nes-c',
          state: 'leaving',
          heldRevision: 12,
          activeRevision: 9,
        },
      ],
    }),
  );
  first.route('GET', '/v1/entry-points', () =>
    Response.json({
      entryPoints: [{ address: '192.0.2.1:8080', availabilityZone: 'hofn-a' }],
      lifetimeMs: 30_000,
    }),
  );
  for (const argv of [
    LIST,
    ['get', 'version', 'v1'],
    ['status'],
    ['entry-points'],
    [...LIST, '--json'],
  ]) {
    t.snapshot(await runTool(argv, [first]), argv.join(' '));
  }
});

test('a deletion sends revision, operator and write id, and is kept in the history', async (t) => {
  const records = new TestRecords();
  const first = await startEntryVm(t, records);
  records.put({ kind: RecordKind.Version, name: 'v1', schemaVersion: 1, spec: { weight: 'w1' } });
  let author: string | undefined;
  first.route('DELETE', '/admin/v1/records/:kind/:name', ({ req }) => {
    author = req.header('x-operator');
    return Response.json({ revision: 12 });
  });
  first.route('GET', '/admin/v1/records/:kind/:name/history', () =>
    Response.json({
      revisions: [
        { revision: 12, deleted: true, author, time: Date.UTC(2026, 0, 1) },
        { revision: 11, author: 'b', time: 0, schemaVersion: 1, spec: { weight: 'w1' } },
      ],
    }),
  );
  first.injectFault('DELETE', FaultKind.DropReply);
  const deletion = await runTool(['delete', 'version', 'v1', '--operator', 'a'], [first]);
  t.snapshot(deletion);
  const sent = first.requests.filter(({ line }) => line.startsWith('DELETE'));
  t.is(sent.length, 2);
  t.deepEqual(sent[0], sent[1]);
  t.is(sent[0]!.line, 'DELETE /admin/v1/records/version/v1?expectedRevision=11');
  t.snapshot((await runTool(['history', 'version', 'v1'], [first])).stdout);
});

test('help, version and usage errors need no entry VM, and the errors list the allowed values', async (t) => {
  const version = await runTool(['--version'], []);
  t.deepEqual([version.code, version.stdout], [ExitCode.Ok, '0.0.0\n']);
  t.snapshot((await runTool(['--help'], [])).stdout);
  t.snapshot((await runTool(['jobs', 'submit', '--help'], [])).stdout);
  const invalidCommandLines = [
    [],
    ['jobs'],
    ['get', 'version'],
    ['get', 'versoin', 'v1'],
    ['status', '--dry-run', '--tiemout=5s'],
    ['apply', '-', '--expected-revision', '1', '--expected-revision', '2'],
    ['status', '--timeout', '5', '--entry-vm', 'localhost:80', '--entry-vm', '10.0.0.1'],
    ['status', '--entry-vm'],
    ['status', '--token', '-hidden', '--entry-vm', 'x', '--json'],
  ];
  for (const argv of invalidCommandLines) {
    const { code, stderr } = await runTool(argv, argv[0] === 'get' ? [UNREACHABLE] : []);
    t.is(code, ExitCode.Usage);
    t.snapshot(stderr, `jujubelanding ${argv.join(' ')}`);
  }
});
