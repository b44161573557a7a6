import test from 'ava';
import { VirtualTimer } from './index.js';

test('handlers run by due time, then in scheduling order', async (t) => {
  const timer = new VirtualTimer();
  const order: string[] = [];
  timer.after(20, () => order.push('c'));
  timer.after(10, () => order.push('a'));
  timer.after(10, () => order.push('b'));
  await timer.advance(20);
  t.deepEqual(order, ['a', 'b', 'c']);
});

test('a cancelled interval no longer runs, even if its own handler cancels it', async (t) => {
  const timer = new VirtualTimer();
  let count = 0;
  const subscription = timer.every(5, () => {
    count += 1;
    if (count === 3) subscription.cancel();
  });
  await timer.advance(100);
  t.is(count, 3);
});

test('promise callbacks of one handler run before the next handler', async (t) => {
  const timer = new VirtualTimer();
  const order: string[] = [];
  timer.after(1, () => {
    Promise.resolve()
      .then(() => Promise.resolve())
      .then(() => order.push('callback'));
  });
  timer.after(1, () => order.push('second'));
  await timer.advance(1);
  t.deepEqual(order, ['callback', 'second']);
});

test('handlers run by due time even if the heap has many entries', async (t) => {
  const timer = new VirtualTimer();
  const seen: number[] = [];
  for (let index = 0; index < 500; index += 1) {
    const delay = (index * 7919) % 503;
    timer.after(delay, () => seen.push(delay));
  }
  await timer.advance(600);
  t.is(seen.length, 500);
  t.deepEqual(
    seen,
    seen.toSorted((a, b) => a - b),
  );
});
