import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { LimitGroup, TEAM } from './fixtures/limit-group.js';
import { GRANT_VALID_MS, GrantDivision } from './index.js';

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

test('the rate over all VMs stays at the limit, and each VM gets a share by demand', async (t) => {
  const group = new LimitGroup(4);
  await group.run([120, 60, 60, 0], 5000);
  const admitted = await group.run([120, 60, 60, 0], 20_000);
  const limit = TEAM.requestsPerSecond * 20;
  t.true(sum(admitted) <= limit + TEAM.burst, `${admitted}`);
  t.true(sum(admitted) >= 0.9 * limit, `${admitted}`);
  t.true(admitted[0]! > 1.7 * admitted[1]! && admitted[0]! < 2.3 * admitted[1]!, `${admitted}`);
});

test('a single VM in use gets nearly the full limit, also after demand moves to another VM', async (t) => {
  const group = new LimitGroup(8);
  await group.run([100], 5000);
  t.true(sum(await group.run([100], 10_000)) >= 0.9 * TEAM.requestsPerSecond * 10);
  await group.run([0, 100], 5000);
  const moved = await group.run([0, 100], 10_000);
  t.true(moved[1]! >= 0.9 * TEAM.requestsPerSecond * 10, `${moved}`);
});

test('concurrency over all VMs stays at the limit', async (t) => {
  const group = new LimitGroup(4);
  await group.run([19, 19, 19, 19], 6000, 100_000);
  const admitted = await group.run([19, 19, 19, 19], 20_000, 100_000);
  t.is(sum(admitted), 0);
  const inFlight = group.controllers.map((controller) => controller.inFlight('team'));
  t.true(sum(inFlight) <= TEAM.concurrency, `${inFlight}`);
  t.true(sum(inFlight) >= 0.7 * TEAM.concurrency, `${inFlight}`);
});

test('a burst across all VMs is admitted while usage is far below the limits', async (t) => {
  const group = new LimitGroup(7);
  await group.run([5, 5, 5, 5, 5, 5, 5], 3000);
  await group.run([], 500);
  const admitted = await group.run([200, 200, 200, 200, 200, 200, 200], 10, 500);
  // Each VM has about 16 / 7 tokens; no VM may get all of the remainder before another VM asks.
  t.deepEqual(admitted, [2, 2, 2, 2, 2, 2, 2]);
});

test('a single VM reaches nearly the full concurrency limit within seconds', async (t) => {
  const group = new LimitGroup(8);
  await group.run([0, 60], 2500, 100_000);
  const inFlight = group.controllers[1]!.inFlight('team');
  t.true(inFlight >= 0.9 * TEAM.concurrency, `${inFlight}`);
});

test('without the owner each VM uses an equal part', async (t) => {
  const group = new LimitGroup(4);
  group.owner = undefined;
  await group.run([100, 100, 100, 100], 3000);
  const admitted = await group.run([100, 100, 100, 100], 10_000);
  for (const count of admitted) {
    t.true(Math.abs(count - (TEAM.requestsPerSecond * 10) / 4) <= 5, `${admitted}`);
  }
});

test('the loss of the owner takes effect when the grant expires', async (t) => {
  const group = new LimitGroup(4);
  await group.run([0, 300], 5000);
  group.owner = 'vm-gone';
  await group.run([0, 300], GRANT_VALID_MS + 500);
  const admitted = await group.run([0, 300], 10_000);
  t.true(Math.abs(admitted[1]! - (TEAM.requestsPerSecond * 10) / 4) <= 5, `${admitted}`);
});

test('the number of share requests does not grow with the number of caller requests', async (t) => {
  const group = new LimitGroup(2);
  await group.run([0, 1000], 10_000);
  t.true(group.requests <= 45, `${group.requests}`);
  group.requests = 0;
  await group.run([0, 10], 10_000);
  t.true(group.requests <= 12, `${group.requests}`);
});

test('a refusal is not-run and has a retry time; an unknown team is refused', (t) => {
  const group = new LimitGroup(1);
  group.owner = undefined;
  const results = Array.from({ length: 20 }, () => group.controllers[0]!.admit('team'));
  const faults = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  t.is(faults.length, 20 - TEAM.burst);
  t.like(faults[0], { code: FaultCode.RateLimited, outcome: Outcome.NotRun, retryAfterMs: 13 });
  const unknown = group.controllers[0]!.admit('other');
  t.true(unknown.isErr() && unknown.error.code === FaultCode.Unauthorized);
});

test('valid grants never add up to more than the limits', (t) => {
  const division = new GrantDivision();
  const inForce = new Map<string, { until: number; rate: number; slots: number }>();
  for (let step = 0; step < 500; step += 1) {
    const entryVmId = `vm${(step * 7) % 5}`;
    const now = step * 130;
    const inFlight = (step * 13) % 30;
    const request = {
      entryVmId,
      demandPerSecond: (step * 37) % 200,
      inFlight,
      wantedInFlight: inFlight,
    };
    const grant = division.grant(request, TEAM, now, { liveVms: 5, isRecovering: false })!;
    inForce.set(entryVmId, {
      until: now + grant.validMs,
      rate: grant.requestsPerSecond,
      slots: grant.concurrency,
    });
    const valid = [...inForce.values()].filter(({ until }) => until > now);
    t.true(sum(valid.map(({ rate }) => rate)) <= TEAM.requestsPerSecond + 1e-6);
    t.true(sum(valid.map(({ slots }) => slots)) <= TEAM.concurrency);
  }
});
