/** Tracks the totals that an owner sent to one entry VM, and selects those to send again. */
import type { WorkerTotal } from '@jujubelanding/peer-protocol';

/** Unchanged totals are repeated after this time; the receiver uses them for 3 s. */
const REPEAT_AFTER_MS = 1400;

/** Totals older than this are sent along with others that are due, which saves datagrams. */
const PIGGYBACK_AFTER_MS = 900;

/** Change of online load, as a share of the slots, that is relevant to routing. */
const ONLINE_CHANGE_SHARE = 0.1;

/** Same for batch load, which yields to online requests and only breaks ties in routing. */
const BATCH_CHANGE_SHARE = 0.25;

/** Time for which the receiver uses a total, its `TOTAL_LIFETIME_MS`. */
const RECEIVER_LIFETIME_MS = 3000;

/** Increase of load, as a share of the free slots known to the receiver, that is sent at once. */
const URGENT_SHARE = 0.25;

interface SentTotal {
  /** Online requests of VMs other than the receiver, which knows its own requests more exactly. */
  onlineOfOthers: number;
  batch: number;
  slots: number;
  at: number;
}

/** A total, and how many of its online requests were sent by its receiver. */
export interface ReceiverTotal {
  total: WorkerTotal;
  receiverOnline: number;
}

const isSignificantChange = (difference: number, slots: number, share: number): boolean =>
  Math.abs(difference) >= Math.max(1, slots * share);

/** Totals sent to one entry VM. */
export class SentTotals {
  private readonly sent = new Map<string, SentTotal>();

  /** Returns the totals that the receiver should get now. */
  selectDue(totals: readonly ReceiverTotal[], now: number): WorkerTotal[] {
    const due = totals.filter((candidate) => this.isDue(candidate, now));
    if (due.length === 0) return [];
    const selected = totals.filter(
      (candidate) =>
        due.includes(candidate) || this.computeAge(candidate, now) >= PIGGYBACK_AFTER_MS,
    );
    selected.forEach((candidate) => this.recordSent(candidate, now));
    return selected.map(({ total }) => total);
  }

  /** Returns the totals that the receiver needs before the next interval. */
  selectUrgent(totals: readonly ReceiverTotal[], now: number): WorkerTotal[] {
    const urgent = totals.filter((candidate) => this.isUrgent(candidate, now));
    urgent.forEach((candidate) => this.recordSent(candidate, now));
    return urgent.map(({ total }) => total);
  }

  private isUrgent({ total, receiverOnline }: ReceiverTotal, now: number): boolean {
    const sent = this.sent.get(total.workerId);
    if (sent === undefined) return false;
    // The receiver has dropped an expired total and assumes that the worker is nearly idle.
    const knownOnline = now - sent.at >= RECEIVER_LIFETIME_MS ? 0 : sent.onlineOfOthers;
    const increase = total.online - receiverOnline - knownOnline;
    const knownFreeSlots = total.slots - total.online + increase;
    if (knownFreeSlots <= 0) return false;
    return (
      increase >= Math.max(1, knownFreeSlots * URGENT_SHARE, total.slots * ONLINE_CHANGE_SHARE)
    );
  }

  private recordSent({ total, receiverOnline }: ReceiverTotal, now: number): void {
    const { workerId, online, batch, slots } = total;
    this.sent.set(workerId, { onlineOfOthers: online - receiverOnline, batch, slots, at: now });
  }

  private isDue(candidate: ReceiverTotal, now: number): boolean {
    const { total, receiverOnline } = candidate;
    const sent = this.sent.get(total.workerId);
    if (sent === undefined || now - sent.at >= REPEAT_AFTER_MS) return true;
    if (sent.slots !== total.slots) return true;
    return (
      isSignificantChange(
        total.online - receiverOnline - sent.onlineOfOthers,
        total.slots,
        ONLINE_CHANGE_SHARE,
      ) || isSignificantChange(total.batch - sent.batch, total.slots, BATCH_CHANGE_SHARE)
    );
  }

  private computeAge({ total }: ReceiverTotal, now: number): number {
    return now - (this.sent.get(total.workerId)?.at ?? now);
  }
}
