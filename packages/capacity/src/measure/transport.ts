/** Measures bytes and processor time of calls and datagrams with the real transport on loopback. */
import { silentLog } from '@jujubelanding/log';
import {
  DatagramKind,
  PeerMethod,
  type ConfigurationDelta,
  type OnlineNotice,
} from '@jujubelanding/peer-protocol';
import { createPeerNetwork, type PeerTransport } from '@jujubelanding/peer-transport';
import { SystemTimer } from '@jujubelanding/timer';
import { ok } from 'neverthrow';
import { measurePerOperation } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  selectSizes,
  type MeasurementOptions,
  type Series,
} from '../series.js';
import { encodeDatagram } from '../wire-format.js';

const VALUE_SIZES = [0, 400, 1600, 6400, 25_600];
const WORKER_COUNTS = [1, 8, 16, 32];
const MIN_MEASURED_MS = 150;

export interface TransportPair {
  a: PeerTransport;
  b: PeerTransport;
  /** Address of `b`. */
  peer: { entryVmId: string; peerAddress: string };
}

/** Starts two transports on free loopback ports. */
export const startTransportPair = async (): Promise<TransportPair> => {
  const create = (): PeerTransport =>
    createPeerNetwork({
      address: '127.0.0.1:0',
      fleetKey: 'capacity',
      log: silentLog,
      timer: new SystemTimer(),
    });
  const [a, b] = [create(), create()];
  const bound = await Promise.all([a.start(), b.start()]);
  const peerAddress = bound[1].unwrapOr('');
  if (peerAddress === '') throw new Error('the transport could not bind a loopback port');
  return { a, b, peer: { entryVmId: 'b', peerAddress } };
};

export const stopTransportPair = async ({ a, b }: TransportPair): Promise<void> => {
  await Promise.all([a.stop(), b.stop()]);
};

const createDelta = (valueBytes: number): ConfigurationDelta => ({
  afterRevision: 1,
  revision: 2,
  records: [{ kind: 'team', name: 'traders', revision: 2, value: 'x'.repeat(valueBytes) }],
});

interface CallCost {
  bytes: number;
  processorUs: number;
}

const measureCall = async (valueBytes: number): Promise<CallCost> => {
  const pair = await startTransportPair();
  const { a, b, peer } = pair;
  b.network.handle(PeerMethod.PushConfiguration, async () => ok({ heldRevision: 2 }));
  const delta = createDelta(valueBytes);
  const call = async (): Promise<void> => {
    const reply = await a.network.call(peer, PeerMethod.PushConfiguration, delta);
    if (reply.isErr()) throw new Error(reply.error.message);
  };
  const processorUs = await measurePerOperation(call, MIN_MEASURED_MS);
  const { messagesOut, bytesOut, bytesIn } = a.counters().traffic[PeerMethod.PushConfiguration]!;
  await stopTransportPair(pair);
  return { bytes: (bytesOut + bytesIn) / messagesOut, processorUs };
};

export const createFullNotice = (workers: number): OnlineNotice => ({
  kind: DatagramKind.OnlineNotice,
  from: 'entry-vm-0001',
  bootId: 'aaaaaaaaaaaaaaaa',
  sequence: 123_456,
  inFlight: Object.fromEntries(
    Array.from({ length: workers }, (_, index) => [`worker-${1000 + index}`, index]),
  ),
  full: true,
});

const DATAGRAM_BATCH = 20;

/**
 * Measures both ends; sends in batches, so that there are few waits for the socket, as on a busy
 * VM.
 */
const measureDatagram = async (workers: number): Promise<number> => {
  const pair = await startTransportPair();
  let received = 0;
  let resolveBatch = (): void => {};
  pair.b.network.handleDatagram(DatagramKind.OnlineNotice, () => {
    received += 1;
    if (received % DATAGRAM_BATCH === 0) resolveBatch();
  });
  const notice = createFullNotice(workers);
  const value = await measurePerOperation(
    () =>
      new Promise<void>((resolve) => {
        resolveBatch = resolve;
        for (let index = 0; index < DATAGRAM_BATCH; index += 1) {
          pair.a.network.send(pair.peer.peerAddress, notice);
        }
      }),
    MIN_MEASURED_MS,
  );
  await stopTransportPair(pair);
  return value / DATAGRAM_BATCH;
};

const CALL_SOURCE = 'peer-transport/src/peer-caller.ts, peer-server.ts';
const DATAGRAM_SOURCE = 'peer-transport/src/datagram-channel.ts';

/** Measures the transport. Both ends run in this process, so the processor time covers both. */
export const measureTransport = async (options: MeasurementOptions): Promise<Series[]> => {
  const calls = await measureEach(selectSizes(VALUE_SIZES, options), measureCall);
  const datagrams = await measureEach(WORKER_COUNTS, measureDatagram);
  const call = { size: 'bytes of the record value', source: CALL_SOURCE };
  const datagram = { size: 'workers listed', source: DATAGRAM_SOURCE };
  const bytes = WORKER_COUNTS.map((size) => ({
    size,
    value: encodeDatagram(createFullNotice(size)).length,
  }));
  return [
    createSeries(
      { ...call, id: 'call.bytes', title: 'Call: HTTP bytes', kind: Kind.Counted, unit: 'B' },
      pickPoints(calls, (cost) => cost.bytes),
    ),
    createSeries(
      { ...call, id: 'call.processor', title: 'Call: both ends', kind: Kind.Processor, unit: 'µs' },
      pickPoints(calls, (cost) => cost.processorUs),
    ),
    createSeries(
      { ...datagram, id: 'datagram.bytes', title: 'Notice: bytes', kind: Kind.Counted, unit: 'B' },
      bytes,
    ),
    createSeries(
      {
        ...datagram,
        id: 'datagram.processor',
        title: 'Notice: both ends',
        kind: Kind.Processor,
        unit: 'µs',
      },
      pickPoints(datagrams, (value) => value),
    ),
  ];
};
