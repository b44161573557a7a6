/** Shares of the teams in the tokens that this VM has served recently. Callers pass in the time. */

/** Time constant with which served tokens are forgotten. */
const MEMORY_MS = 5000;

/** A team is above its share from this multiple of an equal share; few requests vary by chance. */
const TOLERANCE = 1.5;

/** A team whose remembered tokens fall below this share of all counts as inactive. */
const MIN_SHARE = 0.001;

export class TeamShares {
  private readonly served = new Map<string, number>();

  /** Priorities of the teams in `served`. */
  private readonly priorities = new Map<string, number>();

  private total = 0;

  private updatedAt = 0;

  record(team: string, priority: number, tokens: number, now: number): void {
    this.decay(now);
    this.priorities.set(team, priority);
    this.served.set(team, (this.served.get(team) ?? 0) + tokens);
    this.total += tokens;
  }

  /** True if the team was served clearly more than an equal share of the active teams. */
  isAbove(team: string): boolean {
    const equal = this.total / Math.max(1, this.served.size);
    return this.served.size > 1 && (this.served.get(team) ?? 0) > equal * TOLERANCE;
  }

  /** True if no team that was served recently has a higher priority. */
  isHighest(priority: number): boolean {
    return [...this.priorities.values()].every((other) => priority <= other);
  }

  private decay(now: number): void {
    const factor = Math.exp((this.updatedAt - now) / MEMORY_MS);
    this.updatedAt = now;
    this.total *= factor;
    for (const [team, tokens] of this.served) {
      if (tokens * factor >= this.total * MIN_SHARE) this.served.set(team, tokens * factor);
      else {
        this.served.delete(team);
        this.priorities.delete(team);
      }
    }
  }
}
