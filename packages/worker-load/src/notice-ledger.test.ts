import test from 'ava';
import { DatagramKind, type OnlineNotice } from '@jujubelanding/peer-protocol';
import { NoticeLedger } from './index.js';

const createNotice = (
  sequence: number,
  inFlight: Record<string, number>,
  change: Partial<OnlineNotice> = {},
): OnlineNotice => ({
  kind: DatagramKind.OnlineNotice,
  from: 'vm1',
  bootId: 'b1',
  sequence,
  inFlight,
  full: false,
  ...change,
});

test('a full notice corrects a lost end notice', (t) => {
  const ledger = new NoticeLedger();
  ledger.apply(createNotice(1, { w1: 1, w2: 2 }), 0);
  t.deepEqual(ledger.apply(createNotice(3, { w2: 2 }, { full: true }), 10), ['w1']);
  t.is(ledger.online('w1'), 0);
  t.is(ledger.online('w2'), 2);
});

test('a duplicate or late notice is ignored', (t) => {
  const ledger = new NoticeLedger();
  ledger.apply(createNotice(1, { w1: 1 }), 0);
  ledger.apply(createNotice(3, {}, { full: true }), 0);
  ledger.apply(createNotice(1, { w1: 1 }), 0);
  ledger.apply(createNotice(2, { w1: 2 }), 0);
  t.is(ledger.online('w1'), 0);
});

test('reordered notices about different workers both count', (t) => {
  const ledger = new NoticeLedger();
  ledger.apply(createNotice(2, { w2: 1 }), 0);
  ledger.apply(createNotice(1, { w1: 1 }), 0);
  t.is(ledger.online('w1'), 1);
  t.is(ledger.online('w2'), 1);
});

test('a notice that arrives before an older full notice is not reverted by it', (t) => {
  const ledger = new NoticeLedger();
  ledger.apply(createNotice(2, { w1: 1 }), 0);
  ledger.apply(createNotice(1, {}, { full: true }), 0);
  t.is(ledger.online('w1'), 1);
});

test('a restarted VM starts at zero, and late notices of its earlier run are rejected', (t) => {
  const ledger = new NoticeLedger();
  ledger.apply(createNotice(7, { w1: 5 }), 0);
  ledger.apply(createNotice(1, { w1: 1 }, { bootId: 'b2' }), 10);
  t.is(ledger.online('w1'), 1);
  ledger.apply(createNotice(8, { w1: 6 }), 20);
  t.is(ledger.online('w1'), 1);
});

test('requests of a timed-out or dead VM expire', (t) => {
  const ledger = new NoticeLedger();
  ledger.apply(createNotice(1, { w1: 2 }), 0);
  ledger.apply(createNotice(1, { w1: 3 }, { from: 'vm2' }), 2000);
  t.deepEqual(
    ledger.expire(2999, () => false),
    [],
  );
  ledger.expire(3000, () => false);
  t.is(ledger.online('w1'), 3);
  ledger.expire(3000, (id) => id === 'vm2');
  t.is(ledger.online('w1'), 0);
});
