import test from 'ava';
import { RecordKind } from '@jujubelanding/types';
import { ExitCode } from '../../exit-code.js';
import { addRecordRoutes, TestRecords } from '../../fixtures/record-routes.js';
import { runTool, SelfAdvancingTimer } from '../../fixtures/run-tool.js';
import { FaultKind, TestEntryVm } from '../../fixtures/test-entry-vm.js';

const VERSION = { kind: RecordKind.Version, name: 'v1', schemaVersion: 1, spec: { weight: 'w1' } };
const MODEL = {
  kind: RecordKind.Model,
  name: 'advisor',
  schemaVersion: 2,
  spec: { service: 'glass-advisor', version: 'v1', minWorkers: 1, maxTokens: 800 },
};
const FILE = `${JSON.stringify(VERSION)}\n\n${JSON.stringify(MODEL)}\n`;

interface Fleet {
  records: TestRecords;
  first: TestEntryVm;
  second: TestEntryVm;
}

const startFleet = async (t: { teardown: (end: () => Promise<void>) => void }): Promise<Fleet> => {
  const fleet = {
    records: new TestRecords(),
    first: new TestEntryVm(),
    second: new TestEntryVm(),
  };
  for (const entryVm of [fleet.first, fleet.second]) {
    addRecordRoutes(entryVm, fleet.records);
    await entryVm.start();
    t.teardown(() => entryVm.stop());
  }
  return fleet;
};

test('records of all file formats are created, and unchanged ones are not written again', async (t) => {
  const { records, first } = await startFleet(t);
  const created = await runTool(['apply', '-'], [first], { input: FILE });
  t.snapshot(created);
  const array = await runTool(['apply', '-'], [first], { input: JSON.stringify([VERSION, MODEL]) });
  t.is(array.code, ExitCode.Ok);
  const single = await runTool(['apply', '-'], [first], { input: JSON.stringify(MODEL, null, 2) });
  t.is(single.code, ExitCode.Ok);
  t.is(records.writeCount, 2);
});

test('a write whose reply was lost is repeated under its write id and applied once', async (t) => {
  const { records, first } = await startFleet(t);
  first.injectFault('PUT', FaultKind.DropReply);
  first.injectFault('PUT', FaultKind.DropRequest);
  const { code } = await runTool(['apply', '-'], [first], { input: JSON.stringify(VERSION) });
  t.is(code, ExitCode.Ok);
  t.is(records.writeCount, 1);
  const ids = first.requests.filter(({ line }) => line.startsWith('PUT')).map(({ id }) => id);
  t.is(ids.length, 3);
  t.is(new Set(ids).size, 1);
});

test('a retry that is rejected as not-run continues on the next entry VM under the same write id', async (t) => {
  const { records, first, second } = await startFleet(t);
  first.injectFault('PUT', FaultKind.DropReply);
  first.injectFault('PUT', FaultKind.RefuseNotRun);
  const input = JSON.stringify(VERSION);
  t.is((await runTool(['apply', '-'], [first, second], { input })).code, ExitCode.Ok);
  t.is(records.writeCount, 1);
  t.is(second.requests.length, 1);
});

test('a write is not sent to another entry VM after a lost reply, and its outcome is unknown', async (t) => {
  const { first, second } = await startFleet(t);
  for (let count = 0; count < 10; count += 1) first.injectFault('PUT', FaultKind.DropRequest);
  const input = JSON.stringify(VERSION);
  const { code, stderr } = await runTool(['apply', '-'], [first, second], { input });
  t.is(code, ExitCode.OutcomeUnknown);
  t.true(stderr.includes('outcome-unknown'));
  t.deepEqual(second.requests, []);
});

test('a conflict on a retry does not hide that the first attempt may have been applied', async (t) => {
  const { records, first } = await startFleet(t);
  first.injectFault('PUT', FaultKind.DropRequest);
  const timer = new SelfAdvancingTimer();
  // Another operator writes while the tool waits before its retry.
  timer.after(1, () => records.put({ ...VERSION, spec: { weight: 'other' } }));
  const { code } = await runTool(['apply', '-'], [first], {
    input: JSON.stringify(VERSION),
    timer,
  });
  t.is(code, ExitCode.OutcomeUnknown);
});

test('a change made since the revision in the file or on the command line is a conflict', async (t) => {
  const { records, first } = await startFleet(t);
  const { revision } = records.put(MODEL);
  records.put({ ...MODEL, spec: { ...MODEL.spec, maxTokens: 900 } });
  const input = JSON.stringify({ ...MODEL, revision, spec: { ...MODEL.spec, minWorkers: 2 } });
  const fromFile = await runTool(['apply', '-'], [first], { input });
  t.snapshot(fromFile);
  const argv = ['apply', '-', '--expected-revision', String(revision), '--json'];
  const fromFlag = await runTool(argv, [first], { input });
  t.is(fromFlag.code, ExitCode.Conflict);
  t.is(JSON.parse(fromFlag.stderr).fault.details.currentRevision, '12');
});

test('a dry run shows the differences and writes nothing', async (t) => {
  const { records, first } = await startFleet(t);
  records.put({ ...MODEL, spec: { maxTokens: 900, minWorkers: 1, service: 'stock', spare: [1] } });
  const { stdout, code } = await runTool(['apply', '-', '--dry-run'], [first], { input: FILE });
  t.is(code, ExitCode.Ok);
  t.snapshot(stdout);
  t.is(records.writeCount, 1);
});

test('all errors of a file are reported with their location, and nothing is written', async (t) => {
  const { first } = await startFleet(t);
  const records = [VERSION, VERSION, { ...MODEL, kind: 'modell', schemaVersion: 0, nmae: 'x' }];
  const lines = [...records.map((record) => JSON.stringify(record)), '{"kind":'];
  const invalidJson = await runTool(['apply', '-'], [first], { input: lines.join('\n') });
  const invalidRecords = await runTool(['apply', '-'], [first], { input: JSON.stringify(records) });
  const missingFile = await runTool(['apply', 'no-such-file.json'], [first]);
  t.deepEqual([invalidJson.code, invalidRecords.code, missingFile.code], [2, 2, 2]);
  t.regex(invalidJson.stderr, /^line 4: [^\n]+\n$/);
  t.snapshot([invalidRecords.stderr, missingFile.stderr]);
  t.deepEqual(first.requests, []);
});

test('waiting ends with ok when the revision is active on every live entry VM, and with timed-out at the time limit', async (t) => {
  const { first } = await startFleet(t);
  let activeRevision = 0;
  first.route('GET', '/admin/v1/status', () => {
    activeRevision += 3;
    const shared = { availabilityZone: 'jhb-east', heldRevision: 11 };
    return Response.json({
      acceptedRevision: 11,
      inForceEverywhere: activeRevision >= 11,
      entryVms: [
        { ...shared, entryVmId: 'vm-1', state: 'alive', activeRevision },
        { ...shared, entryVmId: 'vm-2', state: 'dead', activeRevision: 0 },
      ],
    });
  });
  const argv = ['apply', '-', '--wait', '--timeout'];
  const input = JSON.stringify(VERSION);
  const timedOut = await runTool([...argv, '500ms'], [first], { input });
  t.is(timedOut.code, ExitCode.TimedOut);
  t.is((await runTool([...argv, '10s'], [first], { input })).code, ExitCode.Ok);
});
