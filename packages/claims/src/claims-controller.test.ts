import test from 'ava';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { Reachability } from '@jujubelanding/stand-ins';
import type { Result } from 'neverthrow';
import { ClaimCluster, RETENTION_MS } from './fixtures/claim-cluster.js';
import { MAX_CLAIM_VALUE_BYTES } from './index.js';

const HOUR_MS = 3_600_000;

const outcomeOf = (result: Result<void, Fault>): Outcome | undefined =>
  result.isErr() ? result.error.outcome : undefined;

const codeOf = (result: Result<void, Fault>): FaultCode | 'claimed' =>
  result.isOk() ? 'claimed' : result.error.code;

test('a key is claimed once; later calls fail with an unknown outcome, as the request may have run', async (t) => {
  const cluster = new ClaimCluster(1);
  t.is(codeOf(await cluster.finish(cluster.claim('vm2', 'k'))), 'claimed');
  for (const vm of ['vm1', 'vm2', 'vm3']) {
    const again = await cluster.finish(cluster.claim(vm, 'k'));
    t.is(codeOf(again), FaultCode.AlreadyClaimed);
    t.is(outcomeOf(again), Outcome.OutcomeUnknown);
  }
  const other = await cluster.finish(cluster.claim('vm3', 'k', 'other request'));
  t.is(codeOf(other), FaultCode.KeyReused);
});

test('claims that arrive together share writes, and one of several with the same key wins', async (t) => {
  const cluster = new ClaimCluster(2);
  await cluster.timer.advance(2000);
  await cluster.finish(cluster.claim('vm1', 'warm 0'));
  const before = cluster.service.readCounters().write ?? 0;
  const vms = ['vm1', 'vm2', 'vm3'];
  const claims = Array.from({ length: 900 }, (_, index) =>
    cluster.claim(vms[index % 3]!, `k${Math.floor(index / 3)}`),
  );
  const results = await cluster.finish(Promise.all(claims));
  t.is(results.filter((result) => result.isOk()).length, 300);
  t.is(results.filter((result) => codeOf(result) === FaultCode.AlreadyClaimed).length, 600);
  // 300 new claims over 64 shards: per shard at most the head, the write in progress and the next
  // ones.
  t.true((cluster.service.readCounters().write ?? 0) - before < 64 * 4);
});

test('a lost reply of the claim write is resolved by reading the page again', async (t) => {
  const cluster = new ClaimCluster(3);
  await cluster.timer.advance(2000);
  cluster.clients.get('vm1')!.faults.lostReplyChance = 1;
  const claim = cluster.claim('vm2', 'k');
  await cluster.timer.advance(500);
  cluster.clients.get('vm1')!.faults.lostReplyChance = 0;
  t.is(codeOf(await cluster.finish(claim)), 'claimed');
  t.is(codeOf(await cluster.finish(cluster.claim('vm2', 'k'))), FaultCode.AlreadyClaimed);
});

test('after a lost reply of the owner, a retry still gets its own claim', async (t) => {
  const cluster = new ClaimCluster(4);
  let calls = 0;
  cluster.isReplyLost = () => {
    calls += 1;
    return calls === 1;
  };
  t.is(codeOf(await cluster.finish(cluster.claim('vm2', 'k'))), 'claimed');
  t.is(calls, 2);
  t.is(codeOf(await cluster.finish(cluster.claim('vm2', 'k'))), FaultCode.AlreadyClaimed);
});

test('if the owner is lost during a claim, the next owner records it', async (t) => {
  const cluster = new ClaimCluster(5);
  await cluster.timer.advance(2000);
  cluster.clients.get('vm1')!.faults.reachability = Reachability.Cut;
  const claim = cluster.claim('vm3', 'k');
  await cluster.timer.advance(1200);
  cluster.setOwner('vm2');
  t.is(codeOf(await cluster.finish(claim)), 'claimed');
});

test('a delayed write of a paused owner cannot claim a key a second time', async (t) => {
  const cluster = new ClaimCluster(6);
  await cluster.finish(cluster.claim('vm1', 'first'));
  await cluster.timer.advance(2000);
  cluster.clients.get('vm1')!.faults.latency = { floorMs: 700, meanExtraMs: 0 };
  const late = cluster.claim('vm1', 'first 2');
  await cluster.timer.advance(10);
  cluster.setOwner('vm2', true);
  const early = await cluster.finish(cluster.claim('vm2', 'first 2'));
  const results = [codeOf(early), codeOf(await cluster.finish(late))];
  t.is(results.filter((code) => code === 'claimed').length, 1);
  t.is(codeOf(await cluster.finish(cluster.claim('vm3', 'first 2'))), FaultCode.AlreadyClaimed);
});

test('a claim that a paused owner wrote after the next owner had loaded is found', async (t) => {
  const cluster = new ClaimCluster(10);
  const others = Array.from({ length: 400 }, (_, index) => cluster.claim('vm1', `other ${index}`));
  await cluster.finish(Promise.all(others));
  cluster.setOwner('vm2', true);
  await cluster.timer.advance(2000);
  t.is(codeOf(await cluster.finish(cluster.claim('vm1', 'k'))), 'claimed');
  t.is(codeOf(await cluster.finish(cluster.claim('vm2', 'k'))), FaultCode.AlreadyClaimed);
});

test('a claim on a page that a paused owner has since moved on from is found', async (t) => {
  const cluster = new ClaimCluster(11);
  await cluster.timer.advance(2000);
  cluster.setOwner('vm2', true);
  await cluster.timer.advance(2000);
  t.is(codeOf(await cluster.finish(cluster.claim('vm1', 'k'))), 'claimed');
  await cluster.timer.advance(HOUR_MS);
  const others = Array.from({ length: 400 }, (_, index) => cluster.claim('vm1', `other ${index}`));
  await cluster.finish(Promise.all(others));
  t.is(codeOf(await cluster.finish(cluster.claim('vm2', 'k'))), FaultCode.AlreadyClaimed);
});

test('without the key-value service a claim is refused as not-run within its time', async (t) => {
  const cluster = new ClaimCluster(7);
  cluster.service.faults.reachability = Reachability.Refusing;
  const refused = await cluster.finish(cluster.claim('vm2', 'k'), 3100);
  t.is(codeOf(refused), FaultCode.Unavailable);
  t.is(outcomeOf(refused), Outcome.NotRun);
  const before = cluster.reads;
  await cluster.finish(
    Promise.all(Array.from({ length: 50 }, () => cluster.claim('vm3', 'k'))),
    3100,
  );
  t.true(cluster.reads - before <= 15, 'retries are paced');
  cluster.service.faults.reachability = Reachability.Up;
  t.is(codeOf(await cluster.finish(cluster.claim('vm2', 'k'))), 'claimed');
});

test('a new owner loads claims of earlier hours; expired ones are deleted', async (t) => {
  const cluster = new ClaimCluster(8);
  await cluster.finish(cluster.claim('vm1', 'old'));
  await cluster.timer.advance(HOUR_MS);
  await cluster.finish(cluster.claim('vm1', 'old'));
  for (let index = 0; index < 200; index += 1) {
    t.is(codeOf(await cluster.finish(cluster.claim('vm1', `new ${index}`))), 'claimed');
  }
  cluster.setOwner('vm2');
  t.is(codeOf(await cluster.finish(cluster.claim('vm3', 'old'))), FaultCode.AlreadyClaimed);
  t.is(codeOf(await cluster.finish(cluster.claim('vm3', 'new 7'))), FaultCode.AlreadyClaimed);
  await cluster.timer.advance(RETENTION_MS + 2 * HOUR_MS);
  await cluster.finish(
    Promise.all(Array.from({ length: 200 }, (_, i) => cluster.claim('vm2', `${i}`))),
  );
  cluster.setOwner('vm3');
  await cluster.timer.advance(3000);
  const { entries } = cluster.service.state.list('claims/');
  const heads = entries.filter(({ key }) => key.endsWith('/head')).map(({ value }) => value);
  const pages = entries.filter(({ key }) => !key.endsWith('/head'));
  t.true(heads.length > 50);
  // Only the current page of each shard is left; all pages of earlier hours have expired.
  t.true(pages.every(({ key }) => heads.some((head) => head.includes(`"${key}"`))));
});

test('a full page is followed by a new one, and both are loaded', async (t) => {
  const cluster = new ClaimCluster(9);
  const longDigest = 'd'.repeat(60_000);
  const keys: string[] = [];
  for (let index = 0; index < 400; index += 1) keys.push(`k${index}`);
  for (const key of keys) await cluster.finish(cluster.claim('vm1', key, longDigest));
  const { entries } = cluster.service.state.list('claims/');
  t.true(entries.some(({ key }) => key.endsWith('.1')));
  t.true(entries.every(({ value }) => value.length < MAX_CLAIM_VALUE_BYTES + 100_000));
  cluster.setOwner('vm2');
  const again = await cluster.finish(
    Promise.all(keys.map((key) => cluster.claim('vm3', key, longDigest))),
  );
  t.true(again.every((result) => codeOf(result) === FaultCode.AlreadyClaimed));
});

for (let seed = 1; seed <= 12; seed += 1) {
  test(`at most one call claims a key under owner changes, pauses and lost replies, seed ${seed}`, async (t) => {
    const cluster = new ClaimCluster(seed);
    const { random } = cluster;
    const vms = ['vm1', 'vm2', 'vm3'];
    const claimed = new Map<string, number>();
    const pending: Promise<unknown>[] = [];
    for (let step = 0; step < 200; step += 1) {
      const key = `k${Math.floor(step / 15)}.${random.nextInt(2)}`;
      const count = (result: Result<void, Fault>): void => {
        if (result.isOk()) claimed.set(key, (claimed.get(key) ?? 0) + 1);
      };
      pending.push(cluster.claim(random.pick(vms), key).then(count));
      const client = cluster.clients.get(random.pick(vms))!;
      if (random.nextInt(5) === 0) cluster.setOwner(random.pick(vms), random.nextInt(2) === 0);
      if (random.nextInt(5) === 0) {
        client.faults.latency = { floorMs: random.nextInt(2) * 900, meanExtraMs: 20 };
      }
      if (random.nextInt(5) === 0) client.faults.lostReplyChance = random.nextInt(2) * 0.5;
      if (random.nextInt(10) === 0) await cluster.timer.advance(HOUR_MS / 2);
      await cluster.timer.advance(random.nextInt(300));
    }
    await cluster.timer.advance(20_000);
    await Promise.all(pending);
    t.true(claimed.size > 5);
    t.deepEqual(
      [...claimed].filter(([, count]) => count > 1),
      [],
    );
  });
}
