import test from 'ava';
import { VirtualTimer } from '@jujubelanding/timer';
import { StartupGate } from './startup-gate.js';

test('requests that arrive right after a restart wait for the configuration, up to a limit', async (t) => {
  const timer = new VirtualTimer();
  let isReady = false;
  const gate = new StartupGate(timer, () => isReady);
  const passed: string[] = [];
  void gate.wait().then(() => passed.push('first'));
  await timer.advance(100);
  t.deepEqual(passed, []);
  isReady = true;
  gate.releaseIfReady();
  await timer.flushPromises();
  t.deepEqual(passed, ['first']);
  isReady = false;
  void gate.wait().then(() => passed.push('second'));
  await timer.advance(500);
  t.deepEqual(passed, ['first', 'second']);
});
