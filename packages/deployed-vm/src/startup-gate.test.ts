import test from 'ava';
import { VirtualTimer } from '@jujubelanding/timer';
import { StartupGate } from './startup-gate.js';

test('requests that arrive right after a restart wait for the configuration, but not for long', async (t) => {
  const timer = new VirtualTimer();
  let isComplete = false;
  const knowledge = new StartupGate(timer, () => isComplete);
  const passed: string[] = [];
  void knowledge.wait().then(() => passed.push('first'));
  await timer.advance(100);
  t.deepEqual(passed, []);
  isComplete = true;
  knowledge.releaseIfReady();
  await timer.flushPromises();
  t.deepEqual(passed, ['first']);
  isComplete = false;
  void knowledge.wait().then(() => passed.push('second'));
  await timer.advance(500);
  t.deepEqual(passed, ['first', 'second']);
});
