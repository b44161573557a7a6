import { Reachability } from '@jujubelanding/stand-ins';
import test from 'ava';
import { AdminApiHarness, createMember } from './fixtures/admin-api-harness.js';

const RECORD = '/v1/records/version/v1';

test('without the operator token nothing is returned or written', async (t) => {
  const admin = new AdminApiHarness();
  for (const authorization of ['', 'Bearer wrong', 'Bearer ']) {
    const response = await admin.send('GET', RECORD, { headers: { authorization } });
    t.is(response.status, 401);
  }
  t.deepEqual(admin.service.counters.read(), {});
});

test('a record is written, read, replaced and deleted, and its history is kept', async (t) => {
  const admin = new AdminApiHarness();
  const created = await admin.putVersion('v1', 0);
  t.is(created.status, 200);
  const replaced = await admin.putVersion('v1', created.body.revision, { weight: 'other' });
  t.is(replaced.status, 200);
  const read = await admin.send('GET', RECORD);
  t.is(read.body.spec.weight, 'other');
  t.is(read.body.revision, replaced.body.revision);
  const removed = await admin.send('DELETE', RECORD, {
    headers: { 'if-match': `"${replaced.body.revision}"` },
  });
  t.is(removed.status, 200);
  t.is((await admin.send('GET', RECORD)).status, 404);
  t.is((await admin.send('GET', '/v1/records/version')).body.records.length, 0);
  const history = await admin.send('GET', `${RECORD}/history`);
  t.deepEqual(
    history.body.revisions.map(({ revision, deleted }: Record<string, unknown>) => [
      revision,
      deleted === true,
    ]),
    [
      [removed.body.revision, true],
      [replaced.body.revision, false],
      [created.body.revision, false],
    ],
  );
  t.is((await admin.putVersion('v1', 0)).status, 200, 'a deleted record can be created again');
});

test('a record is returned in the schema version it was written in, or in the requested one', async (t) => {
  const admin = new AdminApiHarness();
  const spec = {
    kind: 'plainService',
    checksFencing: false,
    slotsPerWorker: 4,
    requestTimeoutSeconds: 1.5,
    nonIdempotentPaths: ['/post'],
  };
  const path = '/v1/records/service/stock-ledger';
  await admin.send('PUT', path, { body: { schemaVersion: 1, spec, expectedRevision: 0 } });
  t.deepEqual((await admin.send('GET', path)).body.spec, spec);
  const newest = await admin.send('GET', `${path}?schemaVersion=2`);
  t.is(newest.body.spec.requestTimeoutMs, 1500);
  t.is((await admin.send('GET', `${path}?schemaVersion=3`)).status, 400);
});

test('all faults of a write are reported together', async (t) => {
  const admin = new AdminApiHarness();
  const response = await admin.send('PUT', '/v1/records/version/V1', {
    body: { schemaVersion: 2, spec: { weight: '' }, kind: 'model' },
    headers: { 'x-write-id': '?' },
  });
  t.is(response.status, 400);
  t.deepEqual(Object.keys(response.body.details).toSorted(), [
    'expectedRevision',
    'kind',
    'name',
    'schemaVersion',
    'x-write-id',
  ]);
});

test('of concurrent writes with the same expected revision exactly one succeeds', async (t) => {
  const admin = new AdminApiHarness(3);
  const first = await admin.putVersion('v1', 0);
  const responses = await Promise.all(
    Array.from({ length: 6 }, (_, index) =>
      admin.putVersion('v1', first.body.revision, { vm: index % 2, weight: `w${index}` }),
    ),
  );
  const successes = responses.filter(({ status }) => status === 200);
  t.is(successes.length, 1);
  for (const { status, body } of responses.filter((response) => response.status !== 200)) {
    t.is(status, 409);
    t.is(body.details.currentRevision, String(successes[0]!.body.revision));
    t.is(body.outcome, 'not-run');
  }
});

test('writes whose replies are lost are applied at most once and report the correct outcome', async (t) => {
  const admin = new AdminApiHarness(4);
  admin.service.faults.lostReplyChance = 0.2;
  admin.service.faults.lostRequestChance = 0.05;
  let revision = 0;
  let applied = 0;
  for (let index = 0; index < 40; index += 1) {
    const { status, body } = await admin.putVersion('v1', revision, { weight: `w${index}` });
    admin.service.faults.lostReplyChance = 0;
    admin.service.faults.lostRequestChance = 0;
    const stored = await admin.send('GET', RECORD);
    const isStored = stored.status === 200 && stored.body.spec.weight === `w${index}`;
    if (status === 200) {
      t.true(isStored);
      t.is(stored.body.revision, body.revision);
    } else if (body.outcome === 'not-run') {
      t.false(isStored);
    }
    applied += isStored ? 1 : 0;
    revision = stored.status === 200 ? stored.body.revision : 0;
    admin.service.faults.lostReplyChance = 0.2;
    admin.service.faults.lostRequestChance = 0.05;
  }
  t.true(applied >= 15, `${applied} of 40 applied`);
});

test('a write retried with the same id after it was replaced is not applied again', async (t) => {
  const admin = new AdminApiHarness(5);
  const body = { schemaVersion: 1, spec: { weight: 'mine' }, expectedRevision: 0 };
  const headers = { 'x-write-id': 'write-0001' };
  const first = await admin.send('PUT', RECORD, { body, headers });
  const other = await admin.putVersion('v1', first.body.revision, { vm: 1, weight: 'theirs' });
  const again = await admin.send('PUT', RECORD, { body, headers, vm: 1 });
  t.is(again.status, 200);
  t.is(again.body.revision, first.body.revision);
  t.is((await admin.send('GET', RECORD)).body.revision, other.body.revision);
});

test('a write fails as not-run while the key-value service is down', async (t) => {
  const admin = new AdminApiHarness();
  admin.service.faults.reachability = Reachability.Refusing;
  const response = await admin.putVersion('v1', 0);
  t.is(response.status, 503);
  t.is(response.body.outcome, 'not-run');
});

test('the outcome is unknown when all replies are lost, beginning with that of the write', async (t) => {
  const admin = new AdminApiHarness(6);
  const client = admin.clients[0]!;
  const write = client.write.bind(client);
  client.write = (request) => {
    if (request.key.startsWith('records/')) client.faults.lostReplyChance = 1;
    return write(request);
  };
  const response = await admin.putVersion('v1', 0);
  t.is(response.body.outcome, 'outcome-unknown');
  const stored = await admin.send('GET', RECORD, { vm: 1 });
  t.is(stored.status, 200, 'the write had taken effect');
});

test('status reports whether the accepted revision is active everywhere and since when', async (t) => {
  const admin = new AdminApiHarness();
  admin.setMembers([createMember(0, 5), createMember(1, 5)]);
  const before = await admin.send('GET', '/v1/status');
  t.true(before.body.inForceEverywhere);
  await admin.timer.advance(10_000);
  admin.setMembers([createMember(0, 9), createMember(1, 5)]);
  const during = await admin.send('GET', '/v1/status');
  t.false(during.body.inForceEverywhere);
  t.is(during.body.acceptedRevision, 9);
  await admin.timer.advance(3000);
  admin.setMembers([createMember(0, 9), createMember(1, 9)]);
  const after = await admin.send('GET', '/v1/status');
  t.true(after.body.inForceEverywhere);
  t.true(Date.parse(after.body.since) - Date.parse(during.body.since) >= 3000);
});
