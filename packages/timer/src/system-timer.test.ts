// Guards against delays that Node.js runs after 1 ms because they are longer than its timers can be.
import { mock } from 'node:test';
import test from 'ava';
import { SystemTimer } from './index.js';

const MS_PER_HOUR = 3_600_000;

const HOURS_PER_DAY = 24;

const LONG_MS = 30 * HOURS_PER_DAY * MS_PER_HOUR;

/** A mocked timer that another one starts is late by up to the hour that passes meanwhile. */
const MAX_LATE_HOURS = 2;

/** Far more than Node.js waits before it runs a delay that is too long. */
const OBSERVED_MS = 30;

test.serial('no delay of weeks ends within milliseconds', async (t) => {
  const timer = new SystemTimer();
  const ended: string[] = [];
  const once = timer.after(LONG_MS, () => ended.push('after'));
  const endless = timer.after(Infinity, () => ended.push('infinite'));
  const repeated = timer.every(LONG_MS, () => ended.push('every'));
  await timer.sleep(OBSERVED_MS);
  [once, endless, repeated].forEach((subscription) => subscription.cancel());
  t.deepEqual(ended, []);
});

test.serial('a delay of weeks ends on time, once, and can be cancelled at any time', async (t) => {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
  t.teardown(() => mock.timers.reset());
  const timer = new SystemTimer();
  const ended: string[] = [];
  const pass = (days: number, extraHours = 0): void => {
    const hours = days * HOURS_PER_DAY + extraHours;
    for (let hour = 0; hour < hours; hour += 1) mock.timers.tick(MS_PER_HOUR);
  };
  timer.after(LONG_MS, () => ended.push('after'));
  const cancelled = timer.after(LONG_MS, () => ended.push('cancelled'));
  const repeated = timer.every(LONG_MS, () => ended.push('every'));
  void timer.sleep(LONG_MS).then(() => ended.push('sleep'));
  pass(29, 23);
  t.deepEqual(ended, []);
  cancelled.cancel();
  pass(0, 1 + MAX_LATE_HOURS);
  await new Promise(setImmediate);
  t.deepEqual(ended, ['after', 'every', 'sleep']);
  pass(30, MAX_LATE_HOURS);
  t.deepEqual(ended, ['after', 'every', 'sleep', 'every']);
  repeated.cancel();
  pass(60);
  t.deepEqual(ended, ['after', 'every', 'sleep', 'every']);
});
