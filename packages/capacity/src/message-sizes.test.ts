import { DatagramKind } from '@jujubelanding/peer-protocol';
import { MAX_VALUE_BYTES } from '@jujubelanding/platform';
import test from 'ava';
import { buildFinishedJob, checkRecordSize } from './job-record.js';
import { exchangeMemberEntries, startMembershipFleet } from './measure/membership.js';
import { startNoticeFleet } from './measure/notices.js';
import { createFullNotice, startTransportPair, stopTransportPair } from './measure/transport.js';
import { checkDatagramSize, encodeDatagram, MAX_DATAGRAM_BYTES } from './wire-format.js';
import type { MeteredNetworkGroup } from './metered-network-group.js';

const runMembershipFleet = async (count: number, seed: number): Promise<MeteredNetworkGroup> => {
  const fleet = startMembershipFleet(count, seed);
  exchangeMemberEntries(fleet);
  await fleet.timer.advance(3000);
  return fleet.networkGroup;
};

// Guards against byte counts of membership that differ between runs with the same seed, and against
// counts on which the seed has no effect.
test('byte counts are the same for the same seed and differ for another one', async (t) => {
  const usages = async (seed: number) => (await runMembershipFleet(8, seed)).listUsages();
  t.deepEqual(await usages(5), await usages(5));
  t.notDeepEqual(await usages(5), await usages(6));
});

// Guards against byte counts of notices that differ between runs with the same seed.
test('notice byte counts are the same for the same seed', async (t) => {
  const usages = async () => {
    const { timer, networkGroup } = startNoticeFleet(8, 3);
    await timer.advance(2000);
    return networkGroup.listUsages();
  };
  t.deepEqual(await usages(), await usages());
});

// Guards against a capacity page whose byte counts differ from what the transport sends.
test('encoded datagrams have as many bytes as the transport sends', async (t) => {
  const pair = await startTransportPair();
  const notice = createFullNotice(8);
  const received = new Promise((resolve) => {
    pair.b.network.handleDatagram(DatagramKind.OnlineNotice, resolve);
  });
  pair.a.network.send(pair.peer.peerAddress, notice);
  t.deepEqual(await received, notice);
  const { bytesOut } = pair.a.counters().traffic[DatagramKind.OnlineNotice]!;
  t.is(bytesOut, encodeDatagram(notice).length);
  await stopTransportPair(pair);
});

// Guards against datagrams that the network fragments or drops, because they are too long.
test('datagrams of notices and totals stay within the limit', async (t) => {
  const { timer, networkGroup } = startNoticeFleet(32, 1);
  await timer.advance(2000);
  t.true(networkGroup.largestDatagram > 0);
  t.true(networkGroup.largestDatagram <= MAX_DATAGRAM_BYTES);
  t.is(networkGroup.oversizedCount, 0);
});

// Guards against an off-by-one error in the size check.
test('the size check rejects a datagram of 1,201 bytes', (t) => {
  t.notThrows(() => checkDatagramSize(Buffer.alloc(1200), 'probe'));
  t.throws(() => checkDatagramSize(Buffer.alloc(1201), 'probe'));
});

// Guards against oversized member entries: in a small fleet each VM owns many shards, which made
// datagrams up to 1.7 KB long.
test('membership datagrams of 8 and of 128 VMs stay within the limit', async (t) => {
  for (const count of [8, 128]) {
    const { largestDatagram } = await runMembershipFleet(count, 1);
    t.true(largestDatagram <= MAX_DATAGRAM_BYTES, `${largestDatagram} bytes at ${count} VMs`);
  }
});

// Guards against job records that the key-value service rejects, because they list too many chunks.
test('the record of a finished job of 570,000 items stays below 1 MB', (t) => {
  const { chunks, recordBytes } = buildFinishedJob(570_000);
  t.true(chunks <= 310);
  t.notThrows(() => checkRecordSize(recordBytes, MAX_VALUE_BYTES));
  t.throws(() => checkRecordSize(MAX_VALUE_BYTES + 1, MAX_VALUE_BYTES));
});
