import { createSocket } from 'node:dgram';
import test, { type ExecutionContext } from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { silentLog } from '@jujubelanding/log';
import { DatagramKind, PeerMethod, type Datagram } from '@jujubelanding/peer-protocol';
import { computeChecksum } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { expectFault, expectValue } from './fixtures/results.js';
import { createPeerNetwork, DropReason } from './index.js';

const startPeer = async (t: ExecutionContext, entryVmId: string, fleetKey = 'key') => {
  const timer = new VirtualTimer();
  const options = { address: '127.0.0.1:0', fleetKey, log: silentLog, timer };
  const transport = createPeerNetwork(options);
  const peerAddress = expectValue(await transport.start());
  t.teardown(() => transport.stop());
  return { ...transport, timer, peer: { entryVmId, peerAddress } };
};

const setUp = async (t: ExecutionContext) => ({
  a: await startPeer(t, 'a'),
  b: await startPeer(t, 'b'),
});

const PROBE: Datagram = { kind: DatagramKind.Probe, sequence: 1, from: 'a', updates: [] };

/** Polls in real time until the condition holds. */
const awaitCondition = async (holds: () => boolean): Promise<void> => {
  while (!holds()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

test('a call transfers input and output unchanged, including fields of newer versions', async (t) => {
  const { a, b } = await setUp(t);
  const delta = { afterRevision: 1, revision: 2, records: [], added: { by: 'ü' } };
  b.network.handle(PeerMethod.PushConfiguration, async (input) => {
    t.deepEqual(input, delta);
    return ok({ heldRevision: 7 });
  });
  const reply = await a.network.call(b.peer, PeerMethod.PushConfiguration, delta);
  t.deepEqual(expectValue(reply), { heldRevision: 7 });
  const { traffic } = a.counters();
  t.is(traffic[PeerMethod.PushConfiguration]?.messagesOut, 1);
  t.true(traffic[PeerMethod.PushConfiguration]!.bytesIn > 0);
});

test('a fault of the handler reaches the caller with its outcome', async (t) => {
  const { a, b } = await setUp(t);
  const fault = { code: FaultCode.NotOwner, outcome: Outcome.NotRun, step: 'x', message: 'no' };
  b.network.handle(PeerMethod.NotifyJobChanged, async () => err(fault));
  const input = { shard: 1, jobId: 'j' };
  const reply = await a.network.call(b.peer, PeerMethod.NotifyJobChanged, input);
  t.deepEqual(expectFault(reply), { ...fault, peer: 'b' });
});

test('the outcome is unknown if the handler throws, and not-run if there is no handler', async (t) => {
  const { a, b } = await setUp(t);
  b.network.handle(PeerMethod.NotifyJobChanged, () => {
    throw new Error('broken');
  });
  const input = { shard: 1, jobId: 'j' };
  const thrown = expectFault(await a.network.call(b.peer, PeerMethod.NotifyJobChanged, input));
  t.is(thrown.outcome, Outcome.OutcomeUnknown);
  const pull = await a.network.call(b.peer, PeerMethod.PullConfiguration, { afterRevision: 0 });
  t.is(expectFault(pull).outcome, Outcome.NotRun);
});

test('an input that does not match the schema is rejected before the handler runs', async (t) => {
  const { a, b } = await setUp(t);
  b.network.handle(PeerMethod.NotifyJobChanged, async () => {
    t.fail();
    return ok({});
  });
  const input = { shard: 'one', jobId: 'j' } as never;
  const fault = expectFault(await a.network.call(b.peer, PeerMethod.NotifyJobChanged, input));
  t.deepEqual([fault.code, fault.outcome], [FaultCode.InvalidInput, Outcome.NotRun]);
});

test('a call that times out has an unknown outcome; a call to a closed port is not-run', async (t) => {
  const { a, b } = await setUp(t);
  let called = false;
  b.network.handle(PeerMethod.NotifyJobChanged, () => {
    called = true;
    return new Promise(() => {});
  });
  const input = { shard: 1, jobId: 'j' };
  const call = a.network.call(b.peer, PeerMethod.NotifyJobChanged, input, 300);
  await awaitCondition(() => called);
  await a.timer.advance(400);
  const timeout = expectFault(await call);
  t.deepEqual([timeout.code, timeout.outcome], [FaultCode.Timeout, Outcome.OutcomeUnknown]);
  const closed = { entryVmId: 'c', peerAddress: '127.0.0.1:1' };
  const refused = expectFault(await a.network.call(closed, PeerMethod.NotifyJobChanged, input));
  t.like(refused, { outcome: Outcome.NotRun, peer: 'c', step: PeerMethod.NotifyJobChanged });
});

test('a caller with another fleet key is rejected and counted', async (t) => {
  const { b } = await setUp(t);
  const outsider = await startPeer(t, 's', 'other');
  b.network.handle(PeerMethod.PullConfiguration, async () => {
    t.fail();
    return err({ code: FaultCode.Internal, outcome: Outcome.Failed, step: '', message: '' });
  });
  const input = { afterRevision: 0 };
  const fault = expectFault(
    await outsider.network.call(b.peer, PeerMethod.PullConfiguration, input),
  );
  t.deepEqual([fault.code, fault.outcome], [FaultCode.Unauthorized, Outcome.NotRun]);
  t.is(b.counters().dropped[DropReason.BadToken], 1);
});

test('segments are transferred byte for byte; a missing one is NotFound', async (t) => {
  const { a, b } = await setUp(t);
  const stored = new Map<string, Uint8Array>();
  b.network.handleSegments({
    put: async (id, content) => {
      stored.set(id, content);
      return ok();
    },
    get: async (id) => {
      const content = stored.get(id);
      const fault = { code: FaultCode.NotFound, outcome: Outcome.Failed, step: 'get' };
      return content === undefined ? err({ ...fault, message: 'missing' }) : ok(content);
    },
  });
  const content = Buffer.alloc(3_000_000, 'segment content \u0000\u00ff');
  t.true((await a.network.putSegment(b.peer, 's1', content)).isOk());
  const read = expectValue(await a.network.getSegment(b.peer, 's1'));
  t.is(computeChecksum(read), computeChecksum(content));
  const missing = expectFault(await a.network.getSegment(b.peer, 's2'));
  t.deepEqual([missing.code, missing.outcome], [FaultCode.NotFound, Outcome.Failed]);
  t.is(expectFault(await b.network.getSegment(a.peer, 's1')).outcome, Outcome.NotRun);
});

test('datagrams arrive; those with a wrong tag or malformed content are dropped and counted', async (t) => {
  const { a, b } = await setUp(t);
  const outsider = await startPeer(t, 's', 'other');
  const received: Datagram[] = [];
  b.network.handleDatagram(DatagramKind.Probe, (probe) => received.push(probe));
  a.network.send(b.peer.peerAddress, PROBE);
  await awaitCondition(() => received.length === 1);
  t.deepEqual(received, [PROBE]);
  outsider.network.send(b.peer.peerAddress, PROBE);
  await awaitCondition(() => b.counters().dropped[DropReason.BadTag] === 1);
  a.network.send(b.peer.peerAddress, { kind: 'unknown', from: 'a' } as never);
  await awaitCondition(() => b.counters().dropped[DropReason.Malformed] === 1);
  t.is(received.length, 1);
});

test('a changed or short datagram is dropped', async (t) => {
  const { b } = await setUp(t);
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  const port = Number(b.peer.peerAddress.split(':')[1]);
  socket.send(Buffer.from('short'), port, '127.0.0.1');
  socket.send(Buffer.alloc(64), port, '127.0.0.1');
  await awaitCondition(() => b.counters().dropped[DropReason.BadTag] === 2);
  t.pass();
});

test('stopping waits for calls in progress and rejects new ones', async (t) => {
  const { a, b } = await setUp(t);
  let respond = (): void => {};
  b.network.handle(
    PeerMethod.NotifyJobChanged,
    () =>
      new Promise((resolve) => {
        respond = () => resolve(ok({}));
      }),
  );
  const input = { shard: 1, jobId: 'j' };
  const call = a.network.call(b.peer, PeerMethod.NotifyJobChanged, input);
  const unset = respond;
  await awaitCondition(() => respond !== unset);
  const stopped = b.stop();
  respond();
  t.true((await call).isOk());
  await b.timer.advance(1000);
  await stopped;
  t.is(
    expectFault(await a.network.call(b.peer, PeerMethod.NotifyJobChanged, input)).outcome,
    Outcome.NotRun,
  );
});

test('unknown paths share one traffic counter, so that they cannot create an unlimited number', async (t) => {
  const { b } = await setUp(t);
  for (const path of ['x', 'y']) {
    const response = await fetch(`http://${b.peer.peerAddress}/peer/calls/${path}`);
    t.is(response.status, 401);
    await response.text();
  }
  await awaitCondition(() => b.counters().traffic.other?.messagesIn === 2);
  t.deepEqual(Object.keys(b.counters().traffic), ['other']);
});

test('a port in use is reported as a fault', async (t) => {
  const { a } = await setUp(t);
  const options = { address: a.peer.peerAddress, fleetKey: 'key', log: silentLog, timer: a.timer };
  const fault = expectFault(await createPeerNetwork(options).start());
  t.like(fault, { code: FaultCode.Unavailable, peer: a.peer.peerAddress });
});

// Guards against a planned stop that nobody learns of: the VM announced that it leaves and closed the socket
// at once, Node dropped the datagrams, and the others went on with the VM until they had detected its loss.
test('datagrams sent just before the stop arrive', async (t) => {
  const { a, b } = await setUp(t);
  const senders: string[] = [];
  b.network.handleDatagram(DatagramKind.Probe, ({ from }) => senders.push(from));
  await Promise.resolve();
  for (let index = 0; index < 8; index += 1) a.network.send(b.peer.peerAddress, PROBE);
  await a.stop();
  // The loopback interface keeps the order, so this one ends the wait whether the others arrive or not.
  const c = await startPeer(t, 'c');
  c.network.send(b.peer.peerAddress, { ...PROBE, from: 'c' });
  await awaitCondition(() => senders.includes('c'));
  t.deepEqual(senders, [...Array<string>(8).fill('a'), 'c']);
});

// Guards against a process that ends because a timer sends on a socket that was closed before.
test('sends and calls after the stop have no effect', async (t) => {
  const { a, b } = await setUp(t);
  await a.stop();
  t.notThrows(() => a.network.send(b.peer.peerAddress, PROBE));
  const input = { shard: 1, jobId: 'j' };
  const fault = expectFault(await a.network.call(b.peer, PeerMethod.NotifyJobChanged, input));
  t.is(fault.outcome, Outcome.NotRun);
  await t.notThrowsAsync(a.stop());
});
