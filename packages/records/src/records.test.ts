import { FencingMode, RecordKind, ServiceKind } from '@jujubelanding/types';
import test from 'ava';
import fc from 'fast-check';
import { expectError, expectValue } from './fixtures/results.js';
import { convertSpec, convertToNewest, encodeStored, parseRecord, parseStored } from './index.js';

const serviceV1 = {
  kind: ServiceKind.ModelEngine,
  checksFencing: true,
  slotsPerWorker: 8,
  requestTimeoutSeconds: 2.5,
  nonIdempotentPaths: [],
};

test('all errors of a record are reported together, with field, value and allowed values', (t) => {
  const faults = expectError(
    parseRecord({
      kind: 'service',
      name: 'Glass Advisor',
      schemaVersion: 2,
      owner: 'x',
      spec: { ...serviceV1, slotsPerWorker: 0, fencing: 'maybe' },
    }),
  );
  t.snapshot(faults);
});

test('an unknown kind does not hide the errors of other fields', (t) => {
  const faults = expectError(parseRecord({ kind: 'mdoel', schemaVersion: 0, spec: 7 }));
  t.deepEqual(
    faults.map(({ field }) => field),
    ['kind', 'name', 'schemaVersion', 'spec'],
  );
});

test('an old schema version is converted to the newest', (t) => {
  const record = expectValue(
    parseRecord({
      kind: 'service',
      name: 'glass-advisor',
      schemaVersion: 1,
      spec: serviceV1,
    }),
  );
  t.deepEqual(convertToNewest(RecordKind.Service, record.spec, 1), {
    kind: ServiceKind.ModelEngine,
    fencing: FencingMode.Checked,
    slotsPerWorker: 8,
    requestTimeoutMs: 2500,
    nonIdempotentPaths: [],
  });
});

test('conversion to the newest version and back is lossless, and both specs are valid', (t) => {
  const teams = fc.record({
    keyHashes: fc.constant(['a'.repeat(64)]),
    requestsPerMinute: fc.integer({ min: 0, max: 1_000_000 }),
    burst: fc.integer({ min: 1, max: 1000 }),
    concurrency: fc.integer({ min: 1, max: 1000 }),
    maxBodyKib: fc.integer({ min: 0, max: 1024 }),
    maxJobItems: fc.integer({ min: 0, max: 570_000 }),
    batchWeight: fc.integer({ min: 1, max: 10 }),
  });
  fc.assert(
    fc.property(teams, (spec) => {
      const newest = convertSpec(RecordKind.Team, spec, 1, 2);
      const base = { kind: 'team', name: 'desk' };
      t.true(parseRecord({ ...base, schemaVersion: 1, spec }).isOk());
      t.true(parseRecord({ ...base, schemaVersion: 2, spec: newest }).isOk());
      t.deepEqual(convertSpec(RecordKind.Team, newest, 2, 1), spec);
    }),
    { seed: 7, numRuns: 200 },
  );
});

test('a corrupt stored value is returned as an error, not thrown', (t) => {
  t.true(parseStored('{"kind":"service"').isErr());
  t.true(parseStored('7').isErr());
  t.true(parseStored('{"kind":"service","name":"a"}').isErr());
});

test('a stored tombstone is decoded as a tombstone', (t) => {
  const tombstone = {
    kind: RecordKind.Model,
    name: 'opal',
    deleted: true as const,
    writeId: 'w1',
    author: 'ops',
    time: 5,
  };
  t.deepEqual(expectValue(parseStored(encodeStored(tombstone))), tombstone);
});
