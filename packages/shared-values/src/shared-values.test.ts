import fc from 'fast-check';
import test from 'ava';
import { MAX_VALUES, SharedValues } from './index.js';

const LIFETIME_MS = 1000;

const sync = (from: SharedValues, to: SharedValues, now: number): void => {
  to.merge(from.selectNewer(to.listVersions(), now), now);
};

const readAll = (values: SharedValues, now: number) =>
  values.read(['a', 'b', 'c'], now).map(({ key, value, version }) => ({ key, value, version }));

test('after an exchange in both directions two VMs have the same values', (t) => {
  const write = fc.record({
    vm: fc.nat({ max: 1 }),
    key: fc.constantFrom('a', 'b', 'c'),
    isExchanged: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(write), (writes) => {
      const vms = [new SharedValues('one'), new SharedValues('two')] as const;
      writes.forEach(({ vm, key, isExchanged }, index) => {
        vms[vm]!.set(key, String(index), LIFETIME_MS, index);
        if (isExchanged) sync(vms[0], vms[1], index);
      });
      const now = writes.length;
      const missing = vms[0].listMissing(vms[1].listVersions());
      t.deepEqual(
        vms[1]
          .selectNewer(vms[0].listVersions(), now)
          .map(({ key }) => key)
          .toSorted(),
        missing.toSorted(),
      );
      sync(vms[0], vms[1], now);
      sync(vms[1], vms[0], now);
      t.deepEqual(readAll(vms[0], now), readAll(vms[1], now));
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('a value expires on all VMs at the time that its writer set', (t) => {
  const [writer, peer] = [new SharedValues('one'), new SharedValues('two')];
  writer.set('a', 'value', LIFETIME_MS, 0);
  // The peer's clock started earlier.
  peer.merge(writer.read(['a'], 400), 50_400);
  t.deepEqual(peer.expire(50_999), []);
  t.like(peer.read(['a'], 50_900)[0], { ageMs: 900, remainingMs: 100, writtenAt: 0 });
  t.deepEqual(peer.expire(51_000), ['a']);
  t.true(peer.isEmpty);
  t.deepEqual(peer.merge(writer.read(['a'], 1000), 51_000), []);
});

test('the number of values that peers can add is bounded', (t) => {
  const [writer, peer] = [new SharedValues('one'), new SharedValues('two')];
  for (let index = 0; index <= MAX_VALUES; index += 1) {
    writer.set(String(index), '', LIFETIME_MS, 0);
  }
  const merged = peer.merge(writer.selectNewer([], 0), 0);
  t.is(merged.length, MAX_VALUES);
});
