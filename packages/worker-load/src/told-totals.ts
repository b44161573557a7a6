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
    joined.forEach(({ total, own }) => {
      const { workerId, online, batch, slots } = total;
      this.told.set(workerId, { others: online - own, batch, slots, at: now });
    });
    return joined.map(({ total }) => total);
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
