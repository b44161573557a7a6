/** What an owner has told one entry VM about load, and which totals are worth sending again. */
import type { WorkerTotal } from '@jujubelanding/peer-protocol';

/** Totals are repeated after this time even if unchanged; they are valid for 3 s at the receiver. */
const REPEAT_AFTER_MS = 1400;

/** Totals this old are repeated along with others that are due, which saves datagrams. */
const PIGGYBACK_AFTER_MS = 900;

/** Change of load, as a share of the slots, that matters to routing. */
const ONLINE_CHANGE_SHARE = 0.1;

/** Batch yields to online requests and is only a tie-breaker in routing. */
const BATCH_CHANGE_SHARE = 0.25;

/** Totals are valid this long at the receiver. */
const RECEIVER_LIFETIME_MS = 3000;

/** Growth of load, as a share of the free slots that the receiver knows of, that can't wait. */
const URGENT_INCREASE_SHARE = 0.25;

interface SentTotal {
  /** Online requests of other VMs; the receiver knows its own ones better. */
  onlineOfOthers: number;
  batch: number;
  slots: number;
  at: number;
}

/** A total and the part of it that is the receiver's own. */
export interface ReceiverTotal {
  total: WorkerTotal;
  own: number;
}

const isSignificantChange = (difference: number, slots: number, share: number): boolean =>
  Math.abs(difference) >= Math.max(1, slots * share);

/** Totals told to one entry VM. */
export class SentTotals {
  private readonly sent = new Map<string, SentTotal>();

  /** Returns the totals that the receiver should get now. */
  selectDue(totals: readonly ReceiverTotal[], now: number): WorkerTotal[] {
    const due = totals.filter((shared) => this.isDue(shared, now));
    if (due.length === 0) return [];
    const selected = totals.filter(
      (shared) => due.includes(shared) || this.ageOf(shared, now) >= PIGGYBACK_AFTER_MS,
    );
    selected.forEach((shared) => this.recordSent(shared, now));
    return selected.map(({ total }) => total);
  }

  /** Returns the totals that the receiver needs before the next interval. */
  selectUrgent(totals: readonly ReceiverTotal[], now: number): WorkerTotal[] {
    const urgent = totals.filter((shared) => this.isUrgent(shared, now));
    urgent.forEach((shared) => this.recordSent(shared, now));
    return urgent.map(({ total }) => total);
  }

  private isUrgent({ total, own }: ReceiverTotal, now: number): boolean {
    const sent = this.sent.get(total.workerId);
    if (sent === undefined) return false;
    // The receiver has dropped an old total and takes the worker to be nearly idle.
    const knownOnline = now - sent.at >= RECEIVER_LIFETIME_MS ? 0 : sent.onlineOfOthers;
    const increase = total.online - own - knownOnline;
    const freeSlots = total.slots - total.online + increase;
    if (freeSlots <= 0) return false;
    return (
      increase >= Math.max(1, freeSlots * URGENT_INCREASE_SHARE, total.slots * ONLINE_CHANGE_SHARE)
    );
  }

  private recordSent({ total, own }: ReceiverTotal, now: number): void {
    const { workerId, online, batch, slots } = total;
    this.sent.set(workerId, { onlineOfOthers: online - own, batch, slots, at: now });
  }

  private isDue(shared: ReceiverTotal, now: number): boolean {
    const { total, own } = shared;
    const sent = this.sent.get(total.workerId);
    if (sent === undefined || now - sent.at >= REPEAT_AFTER_MS) return true;
    if (sent.slots !== total.slots) return true;
    return (
      isSignificantChange(
        total.online - own - sent.onlineOfOthers,
        total.slots,
        ONLINE_CHANGE_SHARE,
      ) || isSignificantChange(total.batch - sent.batch, total.slots, BATCH_CHANGE_SHARE)
    );
  }

  private ageOf({ total }: ReceiverTotal, now: number): number {
    return now - (this.sent.get(total.workerId)?.at ?? now);
  }
}
