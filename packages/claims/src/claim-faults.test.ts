import test from 'ava';
import { FaultCode, type Fault } from '@jujubelanding/errors';
import { WriteStatus } from '@jujubelanding/platform';
import type { Result } from 'neverthrow';
import { ClaimCluster, WriteFault } from './fixtures/claim-cluster.js';
import { claimPrefix, encodeHead, encodePage, MAX_CLAIM_VALUE_BYTES } from './index.js';

/** One claim with this digest fills a page, so that each further claim goes to a new page. */
const LONG_DIGEST = 'd'.repeat(MAX_CLAIM_VALUE_BYTES);

/**
 * Number of runs; run n injects the fault at the n-th write. Intended for the writes of a claim on a full
 * page (close page, move head, write) and of its takeover (acquire head, close page, move head, write).
 * The keys are in different shards, though, so the page of `key 3` is empty at first: without a fault
 * there are at most four writes (acquire head, write, close page, move head), and only the first four
 * runs inject a fault.
 */
const WRITE_STEPS = 8;

/** Change of the shard owner at the faulty write. */
enum Takeover {
  None = 'none',
  /** The previous owner has already noticed that it lost its shards. */
  Loss = 'loss',
  /** The previous owner was paused and still believes that it owns the shards. */
  Pause = 'pause',
}

const codeOf = (result: Result<void, Fault>): FaultCode | 'claimed' =>
  result.isOk() ? 'claimed' : result.error.code;

const countWrites = (cluster: ClaimCluster): number => cluster.service.readCounters().write ?? 0;

for (const fault of Object.values(WriteFault)) {
  for (const takeover of Object.values(Takeover)) {
    test(`at most one call claims a key: fault ${fault} at each write, takeover by ${takeover}`, async (t) => {
      for (let step = 0; step < WRITE_STEPS; step += 1) {
        const cluster = new ClaimCluster(step + 1);
        await cluster.timer.advance(2000);
        await cluster.finish(cluster.claim('vm1', 'key', LONG_DIGEST));
        await cluster.finish(cluster.claim('vm1', 'key 2', LONG_DIGEST));
        let writes = 0;
        cluster.injectWriteFault = () => {
          writes += 1;
          if (writes !== step + 1) return undefined;
          if (takeover !== Takeover.None) cluster.setOwner('vm2', takeover === Takeover.Pause);
          return fault;
        };
        const calls = ['vm1', 'vm2', 'vm3'].map((vm) => cluster.claim(vm, 'key 3', LONG_DIGEST));
        const results = await cluster.finish(Promise.all(calls));
        await cluster.timer.advance(5000);
        results.push(await cluster.finish(cluster.claim('vm3', 'key 3', LONG_DIGEST)));
        const codes = results.map(codeOf);
        t.true(codes.filter((code) => code === 'claimed').length <= 1, `step ${step}: ${codes}`);
        cluster.setOwner('vm3');
        await cluster.timer.advance(2000);
        const last = await cluster.finish(cluster.claim('vm1', 'key 3', LONG_DIGEST));
        t.is(codeOf(last), FaultCode.AlreadyClaimed);
      }
    });
  }
}

// Writes are spaced under load so that claims share them. Guards against spacing that also delays a
// claim that has no others to share its write with.
test('a single claim is written immediately; under load claims are written every 250 ms', async (t) => {
  const cluster = new ClaimCluster(20);
  await cluster.timer.advance(2000);
  await cluster.finish(cluster.claim('vm1', 'key'));
  await cluster.timer.advance(1000);
  // A recorded claim is answered without a write.
  t.is(codeOf(await cluster.finish(cluster.claim('vm1', 'key'), 10)), FaultCode.AlreadyClaimed);
  const before = countWrites(cluster);
  const pending: Promise<unknown>[] = [];
  for (let index = 0; index < 2000; index += 1) {
    pending.push(cluster.claim('vm1', `key ${index}`));
    await cluster.timer.advance(1);
  }
  await cluster.finish(Promise.all(pending));
  // 64 shards for 2.25 s: nine writes each, one extra write after the idle period, and the head
  // once.
  t.true(countWrites(cluster) - before <= 64 * 11);
});

// After an idle period two writes may follow each other without delay. Guards against making the
// requests of a small burst wait for the write interval.
test('a claim that arrives during the write of another one is not delayed', async (t) => {
  const cluster = new ClaimCluster(24);
  await cluster.timer.advance(2000);
  await cluster.finish(cluster.claim('vm1', 'warm'));
  await cluster.timer.advance(1000);
  const first = cluster.claim('vm1', 'key', 'digest 1');
  await cluster.timer.advance(1);
  const results = await cluster.finish(
    Promise.all([first, cluster.claim('vm1', 'key', 'digest 2'), cluster.claim('vm2', 'key')]),
    30,
  );
  t.deepEqual(results.map(codeOf), ['claimed', FaultCode.KeyReused, FaultCode.KeyReused]);
});

test('a claim after an idle period is answered within 20 ms', async (t) => {
  const cluster = new ClaimCluster(21);
  await cluster.timer.advance(2000);
  for (let index = 0; index < 300; index += 1) {
    t.is(codeOf(await cluster.finish(cluster.claim('vm1', `key ${index}`), 20)), 'claimed');
    await cluster.timer.advance(250);
  }
});

// During an update, daemons of two versions run side by side, and the earlier version writes pages
// with long tokens. Guards against a new daemon that cannot read these pages.
test('pages of an earlier version are read and followed by new pages', async (t) => {
  const cluster = new ClaimCluster(22);
  await cluster.finish(cluster.claim('vm1', 'key', 'd'.repeat(64)));
  const { entries } = cluster.service.state.list('claims/');
  const page = entries.find(({ key }) => !key.endsWith('/head'))!;
  const [claimId, digest] = JSON.parse(page.value).claims[0] as [string, string];
  const [shard] = /\d+/.exec(page.key)!;
  const at = cluster.timer.wallClock();
  const filler = Array.from({ length: 1500 }, (_, index) => ({
    claimId: `${index}`.padStart(32, '0'),
    digest,
    token: `request-${index}/vm1/0123456789abcdef`,
    at,
  }));
  const token = 'request/vm1/0123456789abcdef';
  const clusterWithOldPages = new ClaimCluster(23);
  const writes = [
    {
      key: `${claimPrefix(Number(shard))}head`,
      value: encodeHead({ fence: 0, writeId: 'w', key: page.key }),
    },
    {
      key: page.key,
      value: encodePage({
        fence: 0,
        writeId: 'w',
        closed: false,
        claims: [{ claimId, digest, token, at }, ...filler],
      }),
    },
  ];
  t.true(writes[1]!.value.length > 4 * MAX_CLAIM_VALUE_BYTES);
  writes.forEach((write) => {
    const written = clusterWithOldPages.service.state.write({ ...write, expectedRevision: 0 });
    t.is(written.isOk() && written.value.status, WriteStatus.Written);
  });
  await clusterWithOldPages.timer.advance(2000);
  const again = await clusterWithOldPages.finish(
    clusterWithOldPages.claim('vm2', 'key', 'd'.repeat(64)),
  );
  t.is(codeOf(again), FaultCode.AlreadyClaimed);
  const short = await clusterWithOldPages.finish(
    clusterWithOldPages.claim('vm2', 'key', 'd'.repeat(16)),
  );
  t.is(codeOf(short), FaultCode.AlreadyClaimed);
  const other = await clusterWithOldPages.finish(
    clusterWithOldPages.claim('vm2', 'key', 'e'.repeat(64)),
  );
  t.is(codeOf(other), FaultCode.KeyReused);
});
