import { silentLog } from '@jujubelanding/log';
import { VirtualTimer } from '@jujubelanding/timer';
import test from 'ava';
import { Admission, type FleetState } from './index.js';

const setUp = (fleet: FleetState = { servingVms: 3, stoppingSince: [] }) => {
  const timer = new VirtualTimer();
  const admission = new Admission({
    timer,
    log: silentLog,
    stopMs: 7500,
    callerDrainMs: 3300,
    readFleet: () => fleet,
  });
  return { timer, admission };
};

test('a VM that is not being stopped refuses nothing', (t) => {
  t.is(setUp().admission.refuse('ask', 60_000), undefined);
});

// Guards against streams that are accepted shortly before the end of the process and then cut.
test('a stopping VM accepts a request only if recent ones would end before the process', async (t) => {
  const { timer, admission } = setUp();
  [600, 1000, 800].forEach((durationMs) => admission.recordDuration('ask', durationMs));
  admission.beginStop();
  const accepted: Record<number, boolean> = {};
  for (let elapsed = 0; elapsed <= 7000; elapsed += 1000) {
    accepted[elapsed] = admission.refuse('ask', 5000) === undefined;
    await timer.advance(1000);
  }
  t.snapshot(accepted);
});

test('while no other VM serves, a request is accepted that will just end in time', async (t) => {
  for (const [servingVms, isAccepted] of [
    [0, true],
    [1, false],
  ] as const) {
    const { timer, admission } = setUp({ servingVms, stoppingSince: [] });
    admission.recordDuration('ask', 2000);
    admission.beginStop();
    await timer.advance(4800);
    t.is(admission.refuse('ask', 5000) === undefined, isAccepted);
  }
});

test('a request of an unknown kind may take as long as its caller waits', async (t) => {
  const { timer, admission } = setUp();
  admission.beginStop();
  await timer.advance(2400);
  t.is(admission.refuse('other', 5000), undefined);
  await timer.advance(200);
  t.like(admission.refuse('other', 5000), { outcome: 'not-run', step: 'planned-stop' });
});

test('a refused caller returns at once if other VMs serve, else when one is expected back', async (t) => {
  const stoppingSince = [0];
  const alone = setUp({ servingVms: 0, stoppingSince });
  const among = setUp();
  for (const { timer, admission } of [alone, among]) {
    await timer.advance(1000);
    admission.beginStop();
    await timer.advance(3000);
  }
  t.is(among.admission.refuse('ask', 5000)?.retryAfterMs, 0);
  t.is(alone.admission.refuse('ask', 5000)?.retryAfterMs, 800);
});

test('durations are forgotten after half a minute', async (t) => {
  const { timer, admission } = setUp();
  admission.recordDuration('ask', 100);
  await timer.advance(31_000);
  admission.beginStop();
  await timer.advance(4000);
  t.truthy(admission.refuse('ask', 5000));
});
