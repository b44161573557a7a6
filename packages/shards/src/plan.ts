/** Decides which shards this VM should acquire and which it should hand over. */
import { type Member, MemberState } from '@jujubelanding/types';
import { Ranking, SHARDS } from './ranking.js';

/** Delay per rank before the next-ranked member tries to acquire; longer than the lease TTL. */
export const RANK_DELAY_MS = 8000;
/** A member must be ranked first for this time before a shard is handed over to it. */
export const HANDOVER_STABILITY_MS = 5000;
export const HANDOVER_INTERVAL_MS = 2000;
/** Only few shards move at a time, because each one has no owner during the handover. */
const HANDOVERS_PER_INTERVAL = 4;
const HANDOVERS_WHEN_LEAVING = 16;
/**
 * A lower-ranked member keeps a shard that it took over for this time, because the first-ranked one
 * failed to acquire it.
 */
const RETURN_DELAY_MS = 60_000;

export interface PlanInput {
  self: Member;
  members: readonly Member[];
  /** Shards owned by this VM. */
  owned: readonly number[];
  /** Shards claimed by other members. */
  claimed: ReadonlySet<number>;
}

export interface Plan {
  acquire: number[];
  release: number[];
}

export class Planner {
  private readonly ranking = new Ranking();

  private readonly unownedSince = new Map<number, number>();

  private readonly firstRanked = new Map<number, { entryVmId: string; since: number }>();

  private readonly keepUntil = new Map<number, number>();

  private nextHandoverAt = 0;

  plan(input: PlanInput, now: number): Plan {
    const ranks = this.ranking.rank(input.members);
    const owned = new Set(input.owned);
    // The time without an owner starts at the handover.
    owned.forEach((shard) => this.unownedSince.delete(shard));
    return {
      acquire: SHARDS.filter(
        (shard) => !owned.has(shard) && this.shouldAcquire(shard, input, ranks[shard]!, now),
      ),
      release: this.chooseHandovers(input, ranks, now),
    };
  }

  /** Records an acquired shard; if this VM is not ranked first for it, the shard stays for some time. */
  recordAcquisition(shard: number, input: PlanInput, now: number): void {
    const [first] = this.ranking.rank(input.members)[shard]!;
    if (first !== input.self.entryVmId) this.keepUntil.set(shard, now + RETURN_DELAY_MS);
  }

  /** Restarts the delays of lower ranks, so that first-ranked members go first again after an outage. */
  restartDelays(now: number): void {
    for (const shard of this.unownedSince.keys()) this.unownedSince.set(shard, now);
  }

  private shouldAcquire(shard: number, input: PlanInput, ranks: string[], now: number): boolean {
    if (input.claimed.has(shard)) {
      this.unownedSince.delete(shard);
      return false;
    }
    const since = this.unownedSince.get(shard) ?? now;
    this.unownedSince.set(shard, since);
    const rank = ranks.indexOf(input.self.entryVmId);
    return rank >= 0 && now - since >= rank * RANK_DELAY_MS;
  }

  private chooseHandovers(input: PlanInput, ranks: string[][], now: number): number[] {
    const due = input.owned.filter((shard) => this.isHandoverDue(shard, input, ranks[shard]!, now));
    if (due.length === 0 || now < this.nextHandoverAt) return [];
    this.nextHandoverAt = now + HANDOVER_INTERVAL_MS;
    const isLeaving = input.self.state === MemberState.Leaving;
    return due.slice(0, isLeaving ? HANDOVERS_WHEN_LEAVING : HANDOVERS_PER_INTERVAL);
  }

  private isHandoverDue(shard: number, input: PlanInput, ranks: string[], now: number): boolean {
    const [first] = ranks;
    if (first === undefined || first === input.self.entryVmId) {
      this.firstRanked.delete(shard);
      return false;
    }
    const previous = this.firstRanked.get(shard);
    const since = previous?.entryVmId === first ? previous.since : now;
    this.firstRanked.set(shard, { entryVmId: first, since });
    if (input.self.state === MemberState.Leaving) return true;
    return now - since >= HANDOVER_STABILITY_MS && now >= (this.keepUntil.get(shard) ?? 0);
  }
}
