/** Entries that changed recently, each of which is sent a bounded number of times. */

/**
 * Copies of an update per doubling of the member count. With 3, the joins of 200 VMs at once kept the
 * extra gossip at its full rate for more than 30 s after all of them knew each other.
 */
const RETRANSMIT_MULTIPLIER = 2;

interface PendingUpdate {
  sends: number;
  changedAt: number;
}

export class UpdateQueue {
  private readonly pending = new Map<string, PendingUpdate>();

  /** Starts to spread an entry, from its first copy. */
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

  /** Ids in the order in which they are to be sent: fewest copies first, then newest. */
  listInSendOrder(): string[] {
    return [...this.pending]
      .toSorted(([, a], [, b]) => a.sends - b.sends || b.changedAt - a.changedAt)
      .map(([id]) => id);
  }

  /** Counts a copy and ends the spread of an entry that was sent often enough. */
  recordSend(entryVmId: string, memberCount: number): void {
    const pending = this.pending.get(entryVmId);
    if (pending === undefined) return;
    pending.sends += 1;
    const limit = RETRANSMIT_MULTIPLIER * Math.ceil(Math.log2(memberCount + 1));
    if (pending.sends >= limit) this.pending.delete(entryVmId);
  }
}
