import test from 'ava';
import { DatagramKind } from '@jujubelanding/peer-protocol';
import { createRandom } from '@jujubelanding/random';
import { LimitGroup, TEAM } from './fixtures/limit-group.js';
import { GRANT_VALID_MS, GrantDivision } from './index.js';

const LIMIT = TEAM.requestsPerSecond;
const FALLBACK = LIMIT / 4;
const HIGH_RATES = [100, 100, 100, 100];

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

const createBusyGroup = async (): Promise<LimitGroup> => {
  const group = new LimitGroup(4);
  await group.run(HIGH_RATES, 6000);
  return group;
};

test('with lost messages the fleet keeps to the limit and still uses it', async (t) => {
  const group = new LimitGroup(4);
  const random = createRandom(1);
  group.deliver = () => (random.next() < 0.3 ? [] : [1]);
  await group.run(HIGH_RATES, 6000);
  const admitted = sum(await group.run(HIGH_RATES, 20_000));
  t.true(admitted <= LIMIT * 20 + TEAM.burst, `${admitted}`);
  t.true(admitted >= 0.85 * LIMIT * 20, `${admitted}`);
});

test('with repeated and reordered messages the fleet keeps to the limit', async (t) => {
  const group = new LimitGroup(4);
  const random = createRandom(2);
  group.deliver = () => [random.nextInt(300), random.nextInt(300), random.nextInt(6000)];
  await group.run(HIGH_RATES, 10_000);
  // Demand moves between VMs, so that late messages carry outdated shares.
  const moving = [
    [200, 20, 20, 20],
    [20, 20, 200, 20],
  ];
  let admitted = 0;
  for (let round = 0; round < 10; round += 1) {
    admitted += sum(await group.run(moving[round % 2]!, 2000));
  }
  t.true(admitted <= LIMIT * 20 + TEAM.burst, `${admitted}`);
  t.true(admitted >= 0.7 * LIMIT * 20, `${admitted}`);
});

test('an older or repeated request changes no share, but a new run of the VM does', (t) => {
  const division = new GrantDivision();
  const context = { liveVms: 2, isRecovering: false };
  const requestGrant = (bootId: string, sequence: number, demandPerSecond: number) =>
    division.grant(
      { entryVmId: 'vm1', bootId, sequence, demandPerSecond, inFlight: 0 },
      TEAM,
      0,
      context,
    );
  const large = requestGrant('a', 5, 70);
  t.true(large!.requestsPerSecond > 70);
  t.is(requestGrant('a', 5, 10), undefined);
  t.is(requestGrant('a', 4, 10), undefined);
  const other = { entryVmId: 'vm2', demandPerSecond: 70, inFlight: 0 };
  t.true(division.grant(other, TEAM, 0, context)!.requestsPerSecond < LIMIT - 70);
  t.not(requestGrant('b', 1, 10), undefined);
});

test('a VM that gets no answers falls back when its grant ends', async (t) => {
  const group = await createBusyGroup();
  group.deliver = (_from, to, { kind }) =>
    to === 'vm1' && kind === DatagramKind.LimitAnswer ? [] : [1];
  const first = sum(await group.run([50, 200, 50, 50], GRANT_VALID_MS));
  t.true(first <= (LIMIT * GRANT_VALID_MS) / 1000 + TEAM.burst, `${first}`);
  const later = await group.run([50, 200, 50, 50], 10_000);
  t.true(later[1]! <= FALLBACK * 10 + 5, `${later}`);
  // The owner cannot know how much the VM uses without its grant.
  t.true(sum(later) <= (LIMIT + FALLBACK) * 10 + TEAM.burst, `${later}`);
});

test('with an unreachable owner each VM gets an equal part once grants have expired', async (t) => {
  const group = await createBusyGroup();
  group.deliver = () => [];
  // The owner's own share stays valid; other VMs fall back when their grants expire.
  const rates = [0, 300, 20, 20];
  const first = sum(await group.run(rates, GRANT_VALID_MS));
  t.true(first <= (LIMIT * GRANT_VALID_MS) / 1000 + TEAM.burst, `${first}`);
  const later = await group.run(rates, 10_000);
  t.true(Math.abs(later[1]! - FALLBACK * 10) <= 5, `${later}`);
  t.true(sum(later) <= LIMIT * 10, `${later}`);
});

test('a holder that was paused does not use the grant it held before', async (t) => {
  const group = new LimitGroup(4);
  await group.run([0, 100], 6000);
  group.pause('vm1');
  await group.run([0, 0, 100], 8000);
  group.resume('vm1');
  const after = await group.run([0, 100, 100], 2000);
  t.true(sum(after) <= LIMIT * 2 + FALLBACK + TEAM.burst, `${after}`);
  const later = await group.run([0, 100, 100], 5000);
  t.true(sum(later) <= LIMIT * 5 + TEAM.burst, `${later}`);
  t.true(later[1]! >= 0.8 * (LIMIT / 2) * 5, `${later}`);
});

test('after an owner resumes from a pause, late answers do not raise the rate above the limit', async (t) => {
  const group = new LimitGroup(4);
  await group.run([0, 100, 20], 6000);
  group.pause('vm0');
  const during = await group.run([0, 100, 20], GRANT_VALID_MS + 3000);
  t.true(sum(during) <= (LIMIT * (GRANT_VALID_MS + 3000)) / 1000 + TEAM.burst, `${during}`);
  group.resume('vm0');
  const after = await group.run([0, 20, 100], 10_000);
  t.true(sum(after) <= LIMIT * 10 + TEAM.burst, `${after}`);
  t.true(after[2]! >= 0.8 * (LIMIT - 20) * 10, `${after}`);
});

test('a new owner lets no grant grow while grants of the former owner may be valid', async (t) => {
  const group = new LimitGroup(4);
  await group.run([0, 100], 6000);
  group.owner = 'vm3';
  group.ownedSince = group.timer.now();
  const during = await group.run([0, 100, 100], GRANT_VALID_MS);
  // Part of the valid grant continues, and the other VM gets at most its fallback share.
  t.true(during[2]! <= (FALLBACK * GRANT_VALID_MS) / 1000 + TEAM.burst, `${during}`);
  t.true(during[1]! >= 0.45 * LIMIT * (GRANT_VALID_MS / 1000), `${during}`);
  const maxAdmitted = ((LIMIT + FALLBACK) * GRANT_VALID_MS) / 1000 + TEAM.burst;
  t.true(sum(during) <= maxAdmitted, `${during}`);
  const later = await group.run([0, 100, 100], 10_000);
  t.true(sum(later) <= LIMIT * 10 + TEAM.burst, `${later}`);
  t.true(Math.abs(later[1]! - later[2]!) <= 0.15 * LIMIT * 10, `${later}`);
});

test('VMs that still send requests to a former owner fall back to an equal part', async (t) => {
  const group = new LimitGroup(4);
  await group.run([0, 100, 100], 6000);
  group.owner = 'vm3';
  group.ownedSince = group.timer.now();
  group.believedOwners.set('vm1', 'vm0');
  await group.run([0, 100, 100], GRANT_VALID_MS);
  const later = await group.run([0, 100, 100], 10_000);
  t.true(later[1]! <= FALLBACK * 10 + 5, `${later}`);
  t.true(sum(later) <= (LIMIT + FALLBACK) * 10 + TEAM.burst, `${later}`);
});

test('a surge on one VM gets its share within two intervals', async (t) => {
  const group = new LimitGroup(8);
  await group.run([0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], 10_000);
  await group.run([0, 0, 0, 60], 500);
  const admitted = await group.run([0, 0, 0, 60], 1000);
  t.true(admitted[3]! >= 57, `${admitted}`);
});

test('a surge gets its share from a VM that holds most of the limit', async (t) => {
  const group = new LimitGroup(4);
  await group.run([0, 120, 0, 0], 8000);
  await group.run([0, 120, 0, 120], 600);
  const admitted = await group.run([0, 120, 0, 120], 1000);
  t.true(admitted[3]! >= 0.85 * (LIMIT / 2), `${admitted}`);
  t.true(sum(admitted) <= LIMIT + TEAM.burst, `${admitted}`);
});

test('requests of VMs well below their fallback share are admitted without a grant', async (t) => {
  const group = new LimitGroup(8);
  const rates = Array.from({ length: 8 }, () => 0.9);
  const admitted = await group.run(rates, 60_000);
  t.is(group.requests, 0);
  t.is(sum(admitted), 8 * 54);
});

test('the usage of VMs that request nothing is reserved for them', async (t) => {
  const group = new LimitGroup(8);
  const rates = [0, 200, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9];
  await group.run(rates, 6000);
  const admitted = await group.run(rates, 20_000);
  t.true(sum(admitted) <= LIMIT * 20 + TEAM.burst, `${admitted}`);
  t.true(admitted[1]! >= 0.88 * LIMIT * 20, `${admitted}`);
});
