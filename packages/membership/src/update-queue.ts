/** Queue of recently changed entries; each is sent a bounded number of times. */

/**
 * Copies of an update per doubling of the member count. With 3, when 200 VMs joined at once, the extra
 * gossip stayed at its full rate for more than 30 s after all of them knew each other.
 */
const RETRANSMIT_MULTIPLIER = 2;

interface PendingUpdate {
  sends: number;
  changedAt: number;
}

export class UpdateQueue {
  private readonly pending = new Map<string, PendingUpdate>();

  /** Adds an entry, or restarts its count of copies. */
  add(entryVmId: string, now: number): void {
    this.pending.set(entryVmId, { sends: 0, changedAt: now });
  }

  remove(entryVmId: string): void {
    this.pending.delete(entryVmId);
  }

  clear(): void {
    this.pending.clear();
  }

  isEmpty(): boolean {
    return this.pending.size === 0;
  }

  /** Returns ids in the order of sending: fewest copies first, then newest change first. */
  listInSendOrder(): string[] {
    return [...this.pending]
      .toSorted(([, a], [, b]) => a.sends - b.sends || b.changedAt - a.changedAt)
      .map(([id]) => id);
  }

  /** Counts a copy and removes an entry that was sent often enough. */
  recordSend(entryVmId: string, memberCount: number): void {
    const pending = this.pending.get(entryVmId);
    if (pending === undefined) return;
    pending.sends += 1;
    const limit = RETRANSMIT_MULTIPLIER * Math.ceil(Math.log2(memberCount + 1));
    if (pending.sends >= limit) this.pending.delete(entryVmId);
  }
}
