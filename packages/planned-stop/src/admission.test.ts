import { silentLog } from '@jujubelanding/log';
import { VirtualTimer } from '@jujubelanding/timer';
import test from 'ava';
import { Admission, type FleetState } from './index.js';

const ASK = { kind: 'ask', maxMs: 5000, mayRepeat: true };

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
  t.is(setUp().admission.refuse({ ...ASK, maxMs: 60_000 }), undefined);
});

/** Too few VMs to serve all callers of the fleet. */
const FEW: FleetState = { servingVms: 1, stoppingSince: [0, 0, 0] };

// Guards against streams that are accepted shortly before the end of the process and then cut.
test('while few VMs serve, a request is accepted only if recent ones would end before the process', async (t) => {
  const { timer, admission } = setUp(FEW);
  [600, 1000, 800].forEach((durationMs) => admission.recordDuration('ask', durationMs));
  admission.beginStop();
  const accepted: Record<number, boolean> = {};
  for (let elapsed = 0; elapsed <= 7000; elapsed += 1000) {
    accepted[elapsed] = admission.refuse(ASK) === undefined;
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
    t.is(admission.refuse(ASK) === undefined, isAccepted);
  }
});

test('a request of an unknown kind may take as long as its caller waits', async (t) => {
  const { timer, admission } = setUp();
  admission.beginStop();
  await timer.advance(2400);
  t.is(admission.refuse({ ...ASK, kind: 'other' }), undefined);
  await timer.advance(200);
  t.like(admission.refuse({ ...ASK, kind: 'other' }), { outcome: 'not-run', step: 'planned-stop' });
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
  t.is(among.admission.refuse(ASK)?.retryAfterMs, 0);
  t.is(alone.admission.refuse(ASK)?.retryAfterMs, 800);
});

test('durations are forgotten after half a minute', async (t) => {
  const { timer, admission } = setUp();
  admission.recordDuration('ask', 100);
  await timer.advance(31_000);
  admission.beginStop();
  await timer.advance(4000);
  t.truthy(admission.refuse(ASK));
});

// A request was accepted if recent ones were short, and cut without an answer if it lasted longer.
test('a request that another VM can take is accepted only if it ends in time in any case', async (t) => {
  const accepted: Record<string, { once: boolean; repeatable: boolean }> = {};
  for (const [name, fleet] of Object.entries({
    'enough others serve': { servingVms: 2, stoppingSince: [0] },
    'few others serve': FEW,
    'no other serves': { servingVms: 0, stoppingSince: [0] },
  })) {
    const { timer, admission } = setUp(fleet);
    admission.recordDuration('ask', 500);
    admission.beginStop();
    await timer.advance(2300);
    t.is(admission.refuse({ ...ASK, mayRepeat: false }), undefined, name);
    await timer.advance(200);
    accepted[name] = {
      once: admission.refuse({ ...ASK, mayRepeat: false }) === undefined,
      repeatable: admission.refuse(ASK) === undefined,
    };
  }
  t.snapshot(accepted);
});
