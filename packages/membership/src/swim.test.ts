import { DatagramKind } from '@jujubelanding/peer-protocol';
import { createRandom } from '@jujubelanding/random';
import { type Member, MemberState } from '@jujubelanding/types';
import test from 'ava';
import { computeFirstIncarnation } from './incarnation.js';
import { PROBE_PERIOD_MS, type OutgoingDatagram, Swim } from './swim.js';

const TICK_MS = 100;

const createMember = (id: string): Member => ({
  entryVmId: id,
  bootId: `${id}-1`,
  incarnation: computeFirstIncarnation(1_000_000),
  state: MemberState.Alive,
  peerAddress: id,
  callerAddress: id,
  availabilityZone: 'zone-a',
  hasDisk: false,
  heldRevision: 0,
  activeRevision: 0,
  onlineLoad: 0,
  shards: [],
});

/** A detector that knows vm-1, which never answers, and continuously receives from vm-2. */
const setUp = () => {
  const swim = new Swim(createMember('vm-0'), createRandom(1), 0);
  let now = 0;
  const receiveGossip = (updates: Member[] = []): void => {
    const kind = DatagramKind.ProbeReply;
    swim.receive({ kind, sequence: 0, from: 'vm-2', updates }, now);
  };
  receiveGossip([createMember('vm-2'), createMember('vm-1')]);
  const answer = ({ address, datagram }: OutgoingDatagram): void => {
    if (address !== 'vm-2' || datagram.kind !== DatagramKind.Probe) return;
    const { sequence } = datagram;
    swim.receive({ kind: DatagramKind.ProbeReply, sequence, from: 'vm-2', updates: [] }, now);
  };
  /** Runs one tick and returns whether vm-1 was probed. */
  const tick = (): boolean => {
    now += TICK_MS;
    const sends = swim.tick([], now);
    sends.forEach(answer);
    receiveGossip();
    return sends.some(
      ({ address, datagram }) => address === 'vm-1' && datagram.kind === DatagramKind.Probe,
    );
  };
  const advance = (durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) tick();
  };
  const pause = (durationMs: number): void => {
    now += durationMs;
    swim.tick([], now);
  };
  const stateOf = () => swim.table.find('vm-1')?.state;
  return { tick, advance, pause, stateOf };
};

test('a probe in progress while the prober is paused is ignored', (t) => {
  const { tick, advance, pause, stateOf } = setUp();
  while (!tick());
  pause(PROBE_PERIOD_MS + TICK_MS);
  t.is(stateOf(), MemberState.Alive);
  advance(3 * PROBE_PERIOD_MS);
  t.is(stateOf(), MemberState.Suspect, 'without a pause the missing answer counts');
});

test('a pause of the suspecting VM does not shorten the time to refute', (t) => {
  const { advance, pause, stateOf } = setUp();
  while (stateOf() !== MemberState.Suspect) advance(TICK_MS);
  pause(20_000);
  t.is(stateOf(), MemberState.Suspect);
  advance(6 * PROBE_PERIOD_MS);
  t.is(stateOf(), MemberState.Dead);
});
