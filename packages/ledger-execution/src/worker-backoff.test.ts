import test from 'ava';
import { WorkerBackoff } from './worker-backoff.js';

test('a dark worker with many free slots gets ever fewer items instead of all of them', (t) => {
  const avoidance = new WorkerBackoff();
  let sent = 0;
  for (let now = 0; now < 20_000; now += 100) {
    if (!avoidance.isBackedOff('dark', now)) {
      sent += 1;
      avoidance.recordLoss('dark', now);
    }
  }
  t.true(sent <= 5, `${sent} items in 20 s`);
});

test('runs that are lost together count once, and a success ends the avoidance', (t) => {
  const avoidance = new WorkerBackoff();
  for (let index = 0; index < 8; index += 1) avoidance.recordLoss('w', 0);
  t.true(avoidance.isBackedOff('w', 1400));
  t.false(avoidance.isBackedOff('w', 1600));
  avoidance.recordSuccess('w');
  avoidance.recordLoss('w', 2000);
  t.false(avoidance.isBackedOff('w', 3600));
});

test('a refusal of a full worker pauses it briefly', (t) => {
  const avoidance = new WorkerBackoff();
  avoidance.recordRefusal('w', 0);
  t.true(avoidance.isBackedOff('w', 300));
  t.false(avoidance.isBackedOff('w', 500));
});
