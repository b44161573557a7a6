/** SWIM failure detection and gossip as a state machine without I/O. */
import {
  type Datagram,
  DatagramKind,
  type Probe,
  type ProbeReply,
  type ProbeRequest,
} from '@jujubelanding/peer-protocol';
import type { Random } from '@jujubelanding/random';
import { type Member, MemberState, type PeerAddress } from '@jujubelanding/types';
import { MemberTable } from './member-table.js';
import { isSuspectOrDead } from './merge.js';
import { choosePayload } from './payload.js';
import { ProbeOrder } from './probe-order.js';
import { SeedSchedule } from './seed-schedule.js';
import { UpdateQueue } from './update-queue.js';

export const PROBE_PERIOD_MS = 500;
/** Time after which an unanswered probe is repeated indirectly through other members. */
const DIRECT_PROBE_TIMEOUT_MS = 200;
const GOSSIP_INTERVAL_MS = 200;
const INDIRECT_PROBES = 3;
const GOSSIP_FANOUT = 3;
/** Number of members notified of a planned stop; they gossip it further. */
const LEAVE_FANOUT = 8;
/**
 * A longer gap between two events means that this VM itself was paused. Answers that arrived during
 * the pause are still unread when the overdue timers run, so probes in progress are no evidence.
 */
const PAUSE_DETECTION_MS = 300;
/** After a longer pause this VM's view may contain members whose death is no longer gossiped. */
const REJOIN_AFTER_PAUSE_MS = 60_000;
/**
 * For this time a VM that receives nothing assumes that it is isolated itself. The other members
 * detect its failure within this time and then ignore its suspicions.
 */
const MAX_ASSUMED_ISOLATION_MS = 6000;
/** Time for which the reply to a probe on behalf of another member is awaited. */
const RELAY_TIMEOUT_MS = 2000;
/** Minimum interval between replies that inform a sender that it is considered dead. */
const DEATH_NOTICE_INTERVAL_MS = 1000;

/** A datagram and the address to which it must be sent. */
export interface OutgoingDatagram {
  address: string;
  datagram: Datagram;
}

interface PendingProbe {
  sequence: number;
  target: Member;
  sentAt: number;
  isIndirect: boolean;
  isAnswered: boolean;
}

/** A probe on behalf of another member, to which the reply is passed on. */
interface Relay {
  address: string;
  sequence: number;
  expiresAt: number;
}

export type SwimDatagram = Probe | ProbeReply | ProbeRequest;

export class Swim {
  readonly table: MemberTable;

  private readonly queue = new UpdateQueue();

  private readonly order: ProbeOrder;

  private readonly seedSchedule = new SeedSchedule();

  private readonly relays = new Map<number, Relay>();

  /** Per member, the time at which it was last notified that it is considered dead. */
  private readonly deathNoticeSentAt = new Map<string, number>();

  private pending: PendingProbe | undefined;

  private sequence = 0;

  private nextProbeAt: number;

  private nextGossipAt = 0;

  private lastTickAt: number;

  private lastReceivedAt: number;

  constructor(
    self: Member,
    private readonly random: Random,
    now: number,
  ) {
    this.table = new MemberTable(self, this.queue, PROBE_PERIOD_MS);
    this.order = new ProbeOrder(random);
    this.lastTickAt = now;
    this.lastReceivedAt = now;
    // Randomised, so that VMs that start together do not probe at the same times.
    this.nextProbeAt = now + random.nextInt(PROBE_PERIOD_MS);
  }

  /** Runs due probes and timeouts; must be called several times per probe period. */
  tick(seeds: readonly PeerAddress[], now: number): OutgoingDatagram[] {
    this.detectPause(now);
    const outgoing = this.probeIndirectly(now);
    if (now >= this.nextProbeAt) {
      this.finishProbe(now);
      outgoing.push(...this.startProbe(now), ...this.probeSeeds(seeds, now));
      this.nextProbeAt = now + PROBE_PERIOD_MS;
    }
    if (!this.isIsolated(now)) this.table.expire(now);
    for (const [sequence, { expiresAt }] of this.relays) {
      if (expiresAt <= now) this.relays.delete(sequence);
    }
    return [...outgoing, ...this.gossip(now)];
  }

  receive(datagram: SwimDatagram, now: number): OutgoingDatagram[] {
    this.detectPause(now);
    if (datagram.from === this.table.self.entryVmId) return [];
    this.lastReceivedAt = now;
    this.mergeUpdates(datagram, now);
    const sender = this.table.find(datagram.from);
    const outgoing = sender === undefined ? [] : this.answer(datagram, sender, now);
    return [...outgoing, ...this.notifyDeadSender(datagram, sender, now)];
  }

  /** Returns the datagrams that announce a planned stop to some members. */
  leave(now: number): OutgoingDatagram[] {
    this.table.updateSelf({ state: MemberState.Dead, shards: [] }, now);
    return this.random
      .sample(this.table.live(), LEAVE_FANOUT)
      .map((member) => this.createGossip(member, now));
  }

  private detectPause(now: number): void {
    const gap = now - this.lastTickAt;
    this.lastTickAt = now;
    if (gap < PAUSE_DETECTION_MS) return;
    this.pending = undefined;
    this.lastReceivedAt = now;
    this.nextProbeAt = now + this.random.nextInt(PROBE_PERIOD_MS);
    this.table.extendSuspicions(gap);
    if (gap >= REJOIN_AFTER_PAUSE_MS) this.table.clear();
  }

  private mergeUpdates({ from, updates }: SwimDatagram, now: number): void {
    // Checked before merging the sender's own entry, which may revive the sender.
    const isTrusted = this.table.isTrusted(from, now);
    for (const update of updates) {
      const isSenderOrSelf =
        update.entryVmId === from || update.entryVmId === this.table.self.entryVmId;
      if (isTrusted || isSenderOrSelf || !isSuspectOrDead(update)) this.table.merge(update, now);
      if (update.entryVmId === from) this.table.recordRun(update);
    }
  }

  private answer(datagram: SwimDatagram, sender: Member, now: number): OutgoingDatagram[] {
    if (datagram.kind === DatagramKind.Probe) {
      return [this.createReply(sender.peerAddress, sender.entryVmId, datagram.sequence, now)];
    }
    if (datagram.kind === DatagramKind.ProbeRequest) return this.relayProbe(datagram, sender, now);
    if (this.pending?.sequence === datagram.sequence) this.pending.isAnswered = true;
    const relay = this.relays.get(datagram.sequence);
    if (relay === undefined) return [];
    this.relays.delete(datagram.sequence);
    return [this.createReply(relay.address, undefined, relay.sequence, now)];
  }

  /** Notifies a sender that is considered dead, so that it can refute this. */
  private notifyDeadSender(
    datagram: SwimDatagram,
    sender: Member | undefined,
    now: number,
  ): OutgoingDatagram[] {
    const isDue =
      now - (this.deathNoticeSentAt.get(datagram.from) ?? -Infinity) >= DEATH_NOTICE_INTERVAL_MS;
    if (sender?.state !== MemberState.Dead || datagram.kind === DatagramKind.Probe || !isDue) {
      return [];
    }
    this.deathNoticeSentAt.set(datagram.from, now);
    return [this.createGossip(sender, now)];
  }

  private relayProbe(request: ProbeRequest, sender: Member, now: number): OutgoingDatagram[] {
    this.sequence += 1;
    this.relays.set(this.sequence, {
      address: sender.peerAddress,
      sequence: request.sequence,
      expiresAt: now + RELAY_TIMEOUT_MS,
    });
    return [this.createProbe(request.targetAddress, request.target, this.sequence, now)];
  }

  private startProbe(now: number): OutgoingDatagram[] {
    const target = this.order.next(this.table.live());
    if (target === undefined) return [];
    this.sequence += 1;
    const { sequence } = this;
    this.pending = { sequence, target, sentAt: now, isIndirect: false, isAnswered: false };
    return [this.createProbe(target.peerAddress, target.entryVmId, sequence, now)];
  }

  private probeIndirectly(now: number): OutgoingDatagram[] {
    const { pending } = this;
    const isDue = pending !== undefined && now - pending.sentAt >= DIRECT_PROBE_TIMEOUT_MS;
    if (!isDue || pending.isAnswered || pending.isIndirect) return [];
    pending.isIndirect = true;
    const { entryVmId: target, peerAddress: targetAddress } = pending.target;
    const candidates = this.table.live().filter(({ entryVmId }) => entryVmId !== target);
    return this.random.sample(candidates, INDIRECT_PROBES).map((relayMember) => ({
      address: relayMember.peerAddress,
      datagram: {
        kind: DatagramKind.ProbeRequest,
        sequence: pending.sequence,
        from: this.table.self.entryVmId,
        target,
        targetAddress,
        updates: this.choosePayload(relayMember.entryVmId, now),
      },
    }));
  }

  private finishProbe(now: number): void {
    const { pending } = this;
    this.pending = undefined;
    if (pending === undefined || pending.isAnswered) return;
    if (!this.isIsolated(now)) this.table.suspect(pending.target.entryVmId, now);
  }

  private isIsolated(now: number): boolean {
    const silentMs = now - this.lastReceivedAt;
    return silentMs >= PROBE_PERIOD_MS && silentMs < MAX_ASSUMED_ISOLATION_MS;
  }

  private probeSeeds(seeds: readonly PeerAddress[], now: number): OutgoingDatagram[] {
    const isLive = (id: string): boolean => {
      const member = this.table.find(id);
      return member !== undefined && member.state !== MemberState.Dead;
    };
    return this.seedSchedule
      .choose(seeds, isLive, now)
      .map((seed) => this.createProbe(seed.peerAddress, seed.entryVmId, 0, now));
  }

  private gossip(now: number): OutgoingDatagram[] {
    if (now < this.nextGossipAt || this.queue.isEmpty()) return [];
    this.nextGossipAt = now + GOSSIP_INTERVAL_MS;
    return this.random
      .sample(this.table.live(), GOSSIP_FANOUT)
      .map((member) => this.createGossip(member, now));
  }

  /** Gossip outside of probes is sent as a reply with sequence 0, which no probe of a member uses. */
  private createGossip(member: Member, now: number): OutgoingDatagram {
    return this.createReply(member.peerAddress, member.entryVmId, 0, now);
  }

  private createProbe(
    address: string,
    id: string,
    sequence: number,
    now: number,
  ): OutgoingDatagram {
    const updates = this.choosePayload(id, now);
    const from = this.table.self.entryVmId;
    return { address, datagram: { kind: DatagramKind.Probe, sequence, from, updates } };
  }

  private createReply(
    address: string,
    id: string | undefined,
    sequence: number,
    now: number,
  ): OutgoingDatagram {
    const updates = this.choosePayload(id, now);
    const from = this.table.self.entryVmId;
    return { address, datagram: { kind: DatagramKind.ProbeReply, sequence, from, updates } };
  }

  private choosePayload(receiver: string | undefined, now: number): Member[] {
    const { table, queue, random } = this;
    return choosePayload({ table, queue, random }, receiver, now);
  }
}
