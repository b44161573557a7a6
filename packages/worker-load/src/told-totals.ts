/** What an owner has told one entry VM about load, and which totals are worth sending again. */
import type { WorkerTotal } from '@jujubelanding/peer-protocol';

/** Totals are repeated after this time even if unchanged; they are valid for 3 s at the receiver. */
const REPEAT_AFTER_MS = 1400;

/** Totals this old are repeated along with others that are due, which saves datagrams. */
const JOIN_AFTER_MS = 900;

/** Change of load, as a share of the slots, that matters to routing. */
const ONLINE_SHARE = 0.1;

/** Batch yields to online requests and is only a tie-breaker in routing. */
const BATCH_SHARE = 0.25;

/** Totals are valid this long at the receiver. */
const VALID_MS = 3000;

/** Growth of load, as a share of the free slots that the receiver knows of, that can't wait. */
const URGENT_SHARE = 0.25;

interface Told {
  /** Online requests of other VMs; the receiver knows its own ones better. */
  others: number;
  batch: number;
  slots: number;
  at: number;
}

/** A total and the part of it that is the receiver's own. */
export interface SharedTotal {
  total: WorkerTotal;
  own: number;
}

const isAtLeast = (difference: number, slots: number, share: number): boolean =>
  Math.abs(difference) >= Math.max(1, slots * share);

/** Totals told to one entry VM. */
export class ToldTotals {
  private readonly told = new Map<string, Told>();

  /** Returns the totals that the receiver should get now. */
  selectDue(totals: readonly SharedTotal[], now: number): WorkerTotal[] {
    const due = totals.filter((shared) => this.isDue(shared, now));
    if (due.length === 0) return [];
    const joined = totals.filter(
      (shared) => due.includes(shared) || this.ageOf(shared, now) >= JOIN_AFTER_MS,
    );
    joined.forEach((shared) => this.note(shared, now));
    return joined.map(({ total }) => total);
  }

  /** Returns the totals that the receiver needs before the next interval. */
  selectUrgent(totals: readonly SharedTotal[], now: number): WorkerTotal[] {
    const urgent = totals.filter((shared) => this.isUrgent(shared, now));
    urgent.forEach((shared) => this.note(shared, now));
    return urgent.map(({ total }) => total);
  }

  private isUrgent({ total, own }: SharedTotal, now: number): boolean {
    const told = this.told.get(total.workerId);
    if (told === undefined) return false;
    // The receiver has dropped an old total and takes the worker to be nearly idle.
    const known = now - told.at >= VALID_MS ? 0 : told.others;
    const growth = total.online - own - known;
    const room = total.slots - total.online + growth;
    if (room <= 0) return false;
    return growth >= Math.max(1, room * URGENT_SHARE, total.slots * ONLINE_SHARE);
  }

  private note({ total, own }: SharedTotal, now: number): void {
    const { workerId, online, batch, slots } = total;
    this.told.set(workerId, { others: online - own, batch, slots, at: now });
  }

  private isDue(shared: SharedTotal, now: number): boolean {
    const { total, own } = shared;
    const told = this.told.get(total.workerId);
    if (told === undefined || now - told.at >= REPEAT_AFTER_MS) return true;
    if (told.slots !== total.slots) return true;
    return (
      isAtLeast(total.online - own - told.others, total.slots, ONLINE_SHARE) ||
      isAtLeast(total.batch - told.batch, total.slots, BATCH_SHARE)
    );
  }

  private ageOf({ total }: SharedTotal, now: number): number {
    return now - (this.told.get(total.workerId)?.at ?? now);
  }
}
