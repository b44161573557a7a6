/** All members known to this VM, with suspicion and retention deadlines. */
import { type Member, MemberState } from '@jujubelanding/types';
import { nextEpoch } from './incarnation.js';
import { isSuspectOrDead, mergeMember, refute } from './merge.js';
import type { UpdateQueue } from './update-queue.js';

/**
 * Suspicion lasts this many probe periods times the decimal logarithm of the member count: long
 * enough for the accusation to reach the suspect and its refutation to return.
 */
const SUSPICION_MULTIPLIER = 5;
/** Dead members are remembered, so that old gossip about them is recognised as old. */
export const DEAD_RETENTION_MS = 600_000;
/** Deaths are part of the random sample for this time. */
const DEAD_GOSSIP_MS = 60_000;
/** A revived member may still hold others dead that it could not hear; its accusations wait. */
const TRUST_DELAY_MS = 10_000;
/** Up to this size every change of a held revision is spread at once; above, by the random sample. */
const MAX_MEMBERS_FOR_EAGER_REVISION = 32;

interface PeerEntry {
  member: Member;
  /** Time of the last change of state. */
  stateSince: number;
  trustedFrom: number;
  /** True while the VM itself speaks for another run than the held entry. */
  isFormerRun: boolean;
}

export interface StateChange {
  entryVmId: string;
  from: MemberState | undefined;
  to: MemberState;
}

/** Returns how long a suspect has time to refute. */
export const suspicionTimeoutMs = (memberCount: number, probePeriodMs: number): number =>
  SUSPICION_MULTIPLIER * Math.max(1, Math.log10(memberCount + 1)) * probePeriodMs;

export class MemberTable {
  private readonly peers = new Map<string, PeerEntry>();

  private changes: StateChange[] = [];

  private hasChanged = false;

  constructor(
    public self: Member,
    private readonly queue: UpdateQueue,
    private readonly probePeriodMs: number,
  ) {}

  find(entryVmId: string): Member | undefined {
    return entryVmId === this.self.entryVmId ? this.self : this.peers.get(entryVmId)?.member;
  }

  /** Other members that are not dead. */
  live(): Member[] {
    return [...this.peers.values()]
      .map(({ member }) => member)
      .filter(({ state }) => state !== MemberState.Dead);
  }

  /** Members that are not dead, this VM included. */
  liveCount(): number {
    return this.live().length + 1;
  }

  /** Entries that may be sampled for gossip. */
  gossipCandidates(now: number): Member[] {
    return [...this.peers.values()]
      .filter(
        ({ member, stateSince }) =>
          member.state !== MemberState.Dead || now - stateSince < DEAD_GOSSIP_MS,
      )
      .map(({ member }) => member);
  }

  /** Entry of a member that has something to refute: an accusation, or a former run of it. */
  findEntryToRefute(entryVmId: string): Member | undefined {
    const peer = this.peers.get(entryVmId);
    if (peer === undefined) return undefined;
    return isSuspectOrDead(peer.member) || peer.isFormerRun ? peer.member : undefined;
  }

  /**
   * Compares a VM's statement about itself with the held entry. After its clock was set back, a
   * restarted VM begins with a lower incarnation than its former run and must learn of it.
   */
  recordRun({ entryVmId, bootId }: Member): void {
    const peer = this.peers.get(entryVmId);
    if (peer !== undefined) peer.isFormerRun = peer.member.bootId !== bootId;
  }

  /** True when accusations by the member count. */
  isTrusted(entryVmId: string, now: number): boolean {
    const peer = this.peers.get(entryVmId);
    if (peer === undefined) return true;
    return !isSuspectOrDead(peer.member) && now >= peer.trustedFrom;
  }

  merge(update: Member, now: number): void {
    if (update.entryVmId === this.self.entryVmId) {
      this.setSelf(refute(this.self, update), true, now);
      return;
    }
    const held = this.peers.get(update.entryVmId);
    // A death of an unknown member is of no use, and keeping it would spread it again.
    if (held === undefined && update.state === MemberState.Dead) return;
    const merged = held === undefined ? update : mergeMember(held.member, update);
    if (merged !== held?.member) this.storeEntry(merged, now);
  }

  /** Marks a member that did not answer. */
  suspect(entryVmId: string, now: number): void {
    const member = this.peers.get(entryVmId)?.member;
    if (member === undefined || isSuspectOrDead(member)) return;
    this.storeEntry({ ...member, state: MemberState.Suspect }, now);
  }

  /** Changes this VM's own entry; a return from leaving to alive needs a new epoch. */
  updateSelf(update: Partial<Member>, now: number): void {
    const changed = Object.entries(update).filter(
      ([key, value]) => JSON.stringify(this.self[key as keyof Member]) !== JSON.stringify(value),
    );
    if (changed.length === 0) return;
    const keys = changed.map(([key]) => key);
    const isReturn = update.state === MemberState.Alive && keys.includes('state');
    const incarnation = isReturn ? nextEpoch(this.self.incarnation) : this.self.incarnation + 1;
    const isEager =
      keys.includes('state') ||
      keys.includes('shards') ||
      keys.includes('openChunks') ||
      (keys.includes('heldRevision') && this.liveCount() <= MAX_MEMBERS_FOR_EAGER_REVISION);
    this.setSelf({ ...this.self, ...Object.fromEntries(changed), incarnation }, isEager, now);
  }

  /** Declares suspects dead whose time is over, and forgets the dead after the retention time. */
  expire(now: number): void {
    const timeout = suspicionTimeoutMs(this.liveCount(), this.probePeriodMs);
    for (const [id, { member, stateSince }] of this.peers) {
      if (member.state === MemberState.Suspect && now - stateSince >= timeout) {
        this.storeEntry({ ...member, state: MemberState.Dead }, now);
      }
      if (member.state === MemberState.Dead && now - stateSince >= DEAD_RETENTION_MS) {
        this.peers.delete(id);
        this.queue.remove(id);
      }
    }
  }

  /** Gives suspects the time for which this VM itself was paused. */
  extendSuspicions(durationMs: number): void {
    for (const peer of this.peers.values()) {
      if (peer.member.state === MemberState.Suspect) peer.stateSince += durationMs;
    }
  }

  /** Forgets all others. */
  clear(): void {
    this.peers.clear();
    this.queue.clear();
    this.hasChanged = true;
  }

  /** Returns changes since the last call; `isChanged` also covers changes of data. */
  takeChanges(): { isChanged: boolean; states: StateChange[] } {
    const taken = { isChanged: this.hasChanged, states: this.changes };
    this.changes = [];
    this.hasChanged = false;
    return taken;
  }

  private setSelf(self: Member, isEager: boolean, now: number): void {
    if (self === this.self) return;
    this.self = self;
    this.hasChanged = true;
    if (isEager) this.queue.add(self.entryVmId, now);
  }

  private storeEntry(member: Member, now: number): void {
    const held = this.peers.get(member.entryVmId);
    const isSameState = held !== undefined && held.member.state === member.state;
    const isRevived = held?.member.state === MemberState.Dead && !isSameState;
    const isEager =
      !isSameState ||
      held.member.bootId !== member.bootId ||
      held.member.openChunks !== member.openChunks ||
      JSON.stringify(held.member.shards) !== JSON.stringify(member.shards) ||
      (held.member.heldRevision !== member.heldRevision &&
        this.liveCount() <= MAX_MEMBERS_FOR_EAGER_REVISION);
    this.peers.set(member.entryVmId, {
      member,
      stateSince: isSameState ? held.stateSince : now,
      trustedFrom: isRevived ? now + TRUST_DELAY_MS : (held?.trustedFrom ?? now),
      isFormerRun: false,
    });
    this.hasChanged = true;
    if (isEager) this.queue.add(member.entryVmId, now);
    if (!isSameState) {
      this.changes.push({
        entryVmId: member.entryVmId,
        from: held?.member.state,
        to: member.state,
      });
    }
  }
}
