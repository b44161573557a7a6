// Guards against items of a split route that wait for a service without workers, beside idle workers of the
// other services of the route: the service of an item was drawn once, whatever became of its workers.
import test from 'ava';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { createScheduler } from './fixtures/index.js';

const ITEMS = 100;

const TARGETS = [
  { service: 'large', weight: 9 },
  { service: 'small', weight: 1 },
];

const WORKERS = { l1: 'large', l2: 'large', s1: 'small' };

const LOST: Fault = {
  code: FaultCode.Interrupted,
  outcome: Outcome.OutcomeUnknown,
  step: 'forward',
  message: 'closed',
};

const split = (answer: () => Promise<Fault | undefined>) =>
  createScheduler({ items: ITEMS, workers: WORKERS, targets: TARGETS, answer });

test('items leave a service that has lost all its workers, and return with them', (t) => {
  const { scheduler, directory, countWaiting } = split(() => new Promise(() => {}));
  scheduler.publishWaiting();
  const shares = [countWaiting('large'), countWaiting('small')];
  t.is(shares[0]! + shares[1]!, ITEMS);
  t.true(shares[1]! > 0);
  const worker = directory.get('s1')!;
  directory.delete('s1');
  scheduler.publishWaiting();
  t.deepEqual([countWaiting('large'), countWaiting('small')], [ITEMS, 0]);
  directory.set('s1', worker);
  scheduler.publishWaiting();
  t.deepEqual([countWaiting('large'), countWaiting('small')], shares);
  directory.clear();
  scheduler.publishWaiting();
  t.is(countWaiting('large') + countWaiting('small'), ITEMS, 'they wait while no service has any');
});

// A worker that hangs stays listed.
test('an item whose run is lost may go to another service of its route', async (t) => {
  const { timer, scheduler, countWaiting, grant } = split(async () => LOST);
  scheduler.publishWaiting();
  const before = countWaiting('small');
  for (let run = 0; run < before; run += 1) grant('s1');
  await timer.advance(1);
  scheduler.publishWaiting();
  t.true(countWaiting('small') < before, `${countWaiting('small')} of ${before} items`);
  scheduler.close();
});
