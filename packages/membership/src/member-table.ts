/** Table of all members known to this VM, with suspicion and retention deadlines. */
import { type Member, MemberState } from '@jujubelanding/types';
import { computeNextEpoch } from './incarnation.js';
import { isSuspectOrDead, mergeMember, refute } from './merge.js';
import type { UpdateQueue } from './update-queue.js';

/**
 * The suspicion timeout is this many probe periods times the decimal logarithm of the member count:
 * long enough for the suspicion to reach the suspect and for its refutation to return.
 */
const SUSPICION_MULTIPLIER = 5;
/** Dead members are retained for this time, so that outdated gossip about them is recognised. */
export const DEAD_RETENTION_MS = 600_000;
/** Dead members are included in the random gossip sample for this time. */
const DEAD_GOSSIP_MS = 60_000;
/**
 * A revived member may wrongly consider others dead whose messages it did not receive; its suspicions
 * and deaths are ignored for this time.
 */
const TRUST_DELAY_MS = 10_000;
/**
 * Up to this member count each change of `heldRevision` is gossiped at once; in larger fleets it
 * spreads with the random sample.
 */
const MAX_MEMBERS_FOR_EAGER_REVISION = 32;

interface PeerEntry {
  member: Member;
  /** Time of the last state change. */
  stateSince: number;
  /** Time from which suspicions and deaths reported by the member are accepted. */
  trustedFrom: number;
  /** True if the VM itself reports a different boot id than this entry. */
  isFormerRun: boolean;
}

export interface StateChange {
  entryVmId: string;
  from: MemberState | undefined;
  to: MemberState;
}

/** Returns the time that a suspect has to refute the suspicion. */
export const computeSuspicionTimeoutMs = (memberCount: number, probePeriodMs: number): number =>
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

  /** Number of members that are not dead, including this VM. */
  liveCount(): number {
    return this.live().length + 1;
  }

  /** Entries that may be part of the random gossip sample. */
  gossipCandidates(now: number): Member[] {
    return [...this.peers.values()]
      .filter(
        ({ member, stateSince }) =>
          member.state !== MemberState.Dead || now - stateSince < DEAD_GOSSIP_MS,
      )
      .map(({ member }) => member);
  }

  /** Returns the member's entry if the member must refute it: it is suspect, dead or of a former run. */
  findEntryToRefute(entryVmId: string): Member | undefined {
    const peer = this.peers.get(entryVmId);
    if (peer === undefined) return undefined;
    return isSuspectOrDead(peer.member) || peer.isFormerRun ? peer.member : undefined;
  }

  /**
   * Compares the boot id that a VM reports with the one in its entry. If its clock was set back, a restarted
   * VM begins with a lower incarnation than its former run and must be notified of the higher one.
   */
  recordRun({ entryVmId, bootId }: Member): void {
    const peer = this.peers.get(entryVmId);
    if (peer !== undefined) peer.isFormerRun = peer.member.bootId !== bootId;
  }

  /** True if suspicions and deaths reported by the member are accepted. */
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
    const existing = this.peers.get(update.entryVmId);
    // The death of an unknown member is ignored, because storing it would spread it again.
    if (existing === undefined && update.state === MemberState.Dead) return;
    const merged = existing === undefined ? update : mergeMember(existing.member, update);
    if (merged !== existing?.member) this.storeEntry(merged, now);
  }

  /** Marks a member that did not answer as suspect. */
  suspect(entryVmId: string, now: number): void {
    const member = this.peers.get(entryVmId)?.member;
    if (member === undefined || isSuspectOrDead(member)) return;
    this.storeEntry({ ...member, state: MemberState.Suspect }, now);
  }

  /** Updates this VM's own entry; returning from leaving to alive requires a new epoch. */
  updateSelf(update: Partial<Member>, now: number): void {
    const changed = Object.entries(update).filter(
      ([key, value]) => JSON.stringify(this.self[key as keyof Member]) !== JSON.stringify(value),
    );
    if (changed.length === 0) return;
    const keys = changed.map(([key]) => key);
    const isReturn = update.state === MemberState.Alive && keys.includes('state');
    const incarnation = isReturn
      ? computeNextEpoch(this.self.incarnation)
      : this.self.incarnation + 1;
    const isEager =
      keys.includes('state') ||
      keys.includes('shards') ||
      keys.includes('openChunks') ||
      (keys.includes('heldRevision') && this.liveCount() <= MAX_MEMBERS_FOR_EAGER_REVISION);
    this.setSelf({ ...this.self, ...Object.fromEntries(changed), incarnation }, isEager, now);
  }

  /** Marks suspects dead after the suspicion timeout and removes dead members after the retention time. */
  expire(now: number): void {
    const timeout = computeSuspicionTimeoutMs(this.liveCount(), this.probePeriodMs);
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

  /** Extends the time to refute by the duration for which this VM itself was paused. */
  extendSuspicions(durationMs: number): void {
    for (const peer of this.peers.values()) {
      if (peer.member.state === MemberState.Suspect) peer.stateSince += durationMs;
    }
  }

  /** Removes all other members. */
  clear(): void {
    this.peers.clear();
    this.queue.clear();
    this.hasChanged = true;
  }

  /** Returns the changes since the last call; `isChanged` also covers changes other than of state. */
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
    const existing = this.peers.get(member.entryVmId);
    const isSameState = existing !== undefined && existing.member.state === member.state;
    const isRevived = existing?.member.state === MemberState.Dead && !isSameState;
    const isEager =
      !isSameState ||
      existing.member.bootId !== member.bootId ||
      existing.member.openChunks !== member.openChunks ||
      JSON.stringify(existing.member.shards) !== JSON.stringify(member.shards) ||
      (existing.member.heldRevision !== member.heldRevision &&
        this.liveCount() <= MAX_MEMBERS_FOR_EAGER_REVISION);
    this.peers.set(member.entryVmId, {
      member,
      stateSince: isSameState ? existing.stateSince : now,
      trustedFrom: isRevived ? now + TRUST_DELAY_MS : (existing?.trustedFrom ?? now),
      isFormerRun: false,
    });
    this.hasChanged = true;
    if (isEager) this.queue.add(member.entryVmId, now);
    if (!isSameState) {
      this.changes.push({
        entryVmId: member.entryVmId,
        from: existing?.member.state,
        to: member.state,
      });
    }
  }
}
