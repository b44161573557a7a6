/** Merges the online notices of all entry VMs into one count per worker. */
import type { OnlineNotice } from '@jujubelanding/peer-protocol';

/**
 * Time without a notice after which an entry VM is taken to have no requests in progress or to be
 * unreachable, so that its requests no longer count.
 */
export const SENDER_TIMEOUT_MS = 3000;

/** Retired boot ids kept per sender, so that late notices of earlier runs are discarded. */
const MAX_RETIRED_BOOT_IDS = 4;

interface Count {
  online: number;
  /** Sequence number of the notice that set the count. */
  sequence: number;
}

interface Sender {
  bootId: string;
  retiredBootIds: string[];
  lastFullSequence: number;
  highestSequence: number;
  counts: Map<string, Count>;
  lastNoticeAt: number;
}

/** Online requests in progress per worker, summed over entry VMs. */
export class NoticeLedger {
  private readonly senders = new Map<string, Sender>();

  private readonly sums = new Map<string, number>();

  online(workerId: string): number {
    return this.sums.get(workerId) ?? 0;
  }

  /** Returns the online requests of one entry VM on a worker. */
  onlineOf(entryVmId: string, workerId: string): number {
    return this.senders.get(entryVmId)?.counts.get(workerId)?.online ?? 0;
  }

  /** Returns the time of the entry VM's last notice. */
  lastNoticeAt(entryVmId: string): number | undefined {
    return this.senders.get(entryVmId)?.lastNoticeAt;
  }

  /** Returns the highest sequence number of the sender's current run. */
  highestSequence(entryVmId: string): number {
    return this.senders.get(entryVmId)?.highestSequence ?? 0;
  }

  /** Applies a notice; returns the workers whose sum changed. */
  apply(notice: OnlineNotice, now: number): string[] {
    const changed = new Set<string>();
    const sender = this.findOrCreateSender(notice, now, changed);
    if (sender === undefined) return [];
    sender.lastNoticeAt = now;
    sender.highestSequence = Math.max(sender.highestSequence, notice.sequence);
    if (notice.sequence <= sender.lastFullSequence) return [];
    for (const [workerId, online] of Object.entries(notice.inFlight)) {
      this.setCount(sender, workerId, { online, sequence: notice.sequence }, changed);
    }
    if (notice.full) this.dropUnlisted(sender, notice, changed);
    return [...changed];
  }

  /**
   * Drops senders that timed out, and the counts of dead ones; returns the workers whose sum
   * changed.
   */
  expire(now: number, isDead: (entryVmId: string) => boolean): string[] {
    const changed = new Set<string>();
    for (const [entryVmId, sender] of this.senders) {
      if (now - sender.lastNoticeAt < SENDER_TIMEOUT_MS && !isDead(entryVmId)) continue;
      this.clearCounts(sender, changed);
      if (now - sender.lastNoticeAt >= SENDER_TIMEOUT_MS) this.senders.delete(entryVmId);
    }
    return [...changed];
  }

  /** Returns the sender's state; a new boot id resets it, and a retired one is rejected. */
  private findOrCreateSender(
    notice: OnlineNotice,
    now: number,
    changed: Set<string>,
  ): Sender | undefined {
    const existing = this.senders.get(notice.from);
    if (existing?.bootId === notice.bootId) return existing;
    if (existing?.retiredBootIds.includes(notice.bootId) === true) return undefined;
    if (existing !== undefined) this.clearCounts(existing, changed);
    const retired = existing === undefined ? [] : [...existing.retiredBootIds, existing.bootId];
    const sender: Sender = {
      bootId: notice.bootId,
      retiredBootIds: retired.slice(-MAX_RETIRED_BOOT_IDS),
      lastFullSequence: 0,
      highestSequence: 0,
      counts: new Map(),
      lastNoticeAt: now,
    };
    this.senders.set(notice.from, sender);
    return sender;
  }

  private dropUnlisted(sender: Sender, notice: OnlineNotice, changed: Set<string>): void {
    sender.lastFullSequence = notice.sequence;
    for (const [workerId, count] of sender.counts) {
      if (count.sequence >= notice.sequence) continue;
      this.setCount(sender, workerId, { online: 0, sequence: notice.sequence }, changed);
    }
  }

  private setCount(sender: Sender, workerId: string, count: Count, changed: Set<string>): void {
    const before = sender.counts.get(workerId);
    // Compared per worker, because datagrams about different workers may be reordered.
    if (before !== undefined && before.sequence > count.sequence) return;
    if (count.online === 0 && count.sequence <= sender.lastFullSequence) {
      sender.counts.delete(workerId);
    } else {
      sender.counts.set(workerId, count);
    }
    this.addToSum(workerId, count.online - (before?.online ?? 0), changed);
  }

  private clearCounts(sender: Sender, changed: Set<string>): void {
    for (const [workerId, count] of sender.counts) {
      this.addToSum(workerId, -count.online, changed);
    }
    sender.counts.clear();
  }

  private addToSum(workerId: string, difference: number, changed: Set<string>): void {
    if (difference === 0) return;
    const sum = this.online(workerId) + difference;
    if (sum === 0) this.sums.delete(workerId);
    else this.sums.set(workerId, sum);
    changed.add(workerId);
  }
}
