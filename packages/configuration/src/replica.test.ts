import test from 'ava';
import { ApplyStatus, Replica } from './replica.js';

const createRecord = (name: string, revision: number) => ({
  kind: 'version',
  name,
  revision,
  value: `value-${revision}`,
});

test('a delta that follows missing records is not applied', (t) => {
  const replica = new Replica();
  replica.apply({ afterRevision: 0, revision: 4, records: [createRecord('a', 4)] }, 0);
  const gap = { afterRevision: 6, revision: 9, records: [createRecord('a', 9)] };
  t.is(replica.apply(gap, 0), ApplyStatus.Gap);
  t.is(replica.heldRevision(), 4);
  t.deepEqual(replica.deltaAfter(0).records, [createRecord('a', 4)]);
});

test('a late delta with older records changes nothing', (t) => {
  const replica = new Replica();
  replica.apply({ afterRevision: 0, revision: 9, records: [createRecord('a', 9)] }, 0);
  const late = { afterRevision: 0, revision: 5, records: [createRecord('a', 5)] };
  t.is(replica.apply(late, 0), ApplyStatus.AlreadyHeld);
  const overlapping = {
    afterRevision: 0,
    revision: 11,
    records: [createRecord('a', 5), createRecord('b', 11)],
  };
  t.is(replica.apply(overlapping, 0), ApplyStatus.Applied);
  t.deepEqual(replica.deltaAfter(0).records, [createRecord('a', 9), createRecord('b', 11)]);
  t.deepEqual(
    replica.takeUpTo(11).map(({ records }) => records.map(({ revision }) => revision)),
    [[9], [11]],
  );
});
