import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { pack } from 'msgpackr';
import test, { type ExecutionContext } from 'ava';
import { silentLog, type Log } from '@jujubelanding/log';
import { SystemTimer } from '@jujubelanding/timer';
import { MessageKind, type LoadMessage } from './load-message.js';
import { openLoadSocket } from './load-socket.js';

const PLAN: LoadMessage = {
  kind: MessageKind.Plan,
  plannerId: 'vm-1',
  bootId: 'boot-1',
  sequence: 1,
  starts: [],
  cuts: [],
};

// Guards against a process that ends with an exception while it stops: requests in progress end after the
// socket is closed and change the load.
test('a message that is sent after the socket was closed is dropped', async (t) => {
  const opened = await openLoadSocket('127.0.0.1:0', silentLog, () => {});
  if (opened.isErr()) throw new Error(opened.error.message);
  opened.value.close();
  t.notThrows(() => opened.value.send(PLAN, ['127.0.0.1:9']));
});

const TIME_LIMIT_MS = 2000;

const openSocket = async (
  t: ExecutionContext,
  log: Log,
  onMessage: (message: LoadMessage) => void = () => {},
) => {
  const opened = await openLoadSocket('127.0.0.1:0', log, onMessage);
  if (opened.isErr()) throw new Error(opened.error.message);
  t.teardown(() => opened.value.close());
  return opened.value;
};

const openPeer = async (t: ExecutionContext) => {
  const peer = createSocket('udp4');
  peer.bind(0, '127.0.0.1');
  await once(peer, 'listening');
  t.teardown(() => peer.close());
  return peer;
};

// A port out of range throws when a datagram is sent; the timer that sends it has nobody to catch it.
test('a peer whose registration has an invalid address costs only its own datagrams', async (t) => {
  const lost: unknown[] = [];
  const socket = await openSocket(t, { write: (event, fields) => lost.push(fields?.peer) });
  const peer = await openPeer(t);
  const received = once(peer, 'message', { signal: AbortSignal.timeout(TIME_LIMIT_MS) });
  const invalid = ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:1e400', '127.0.0.1', ''];
  socket.send(PLAN, [...invalid, `127.0.0.1:${peer.address().port}`]);
  await received;
  t.deepEqual(lost, invalid);
});

/** A MessagePack array of one element, whose element is such an array, and so on. */
const NESTED = Buffer.concat([Buffer.alloc(60_000, 0x91), Buffer.from([0xc0])]);

test('a datagram that is nested too deeply is rejected, and later ones are received', async (t) => {
  const events: string[] = [];
  const messages: LoadMessage[] = [];
  const socket = await openSocket(t, { write: (event) => events.push(event) }, (message) =>
    messages.push(message),
  );
  const peer = await openPeer(t);
  const received = once(peer, 'message', { signal: AbortSignal.timeout(TIME_LIMIT_MS) });
  socket.send(PLAN, [`127.0.0.1:${peer.address().port}`]);
  const [, sender] = (await received) as [Buffer, { port: number }];
  [NESTED, Buffer.from('no message'), pack(PLAN)].forEach((content) =>
    peer.send(content, sender.port, '127.0.0.1'),
  );
  const timer = new SystemTimer();
  const endsAt = timer.now() + TIME_LIMIT_MS;
  while (messages.length === 0 && timer.now() < endsAt) await timer.sleep(5);
  t.deepEqual(messages, [PLAN]);
  t.deepEqual(events, ['datagram-rejected', 'datagram-rejected']);
});
