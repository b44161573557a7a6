/** Served tokens of each team, after the published Virtual Token Counter. */
export class FairCounters {
  private readonly counters = new Map<string, number>();

  get served(): ReadonlyMap<string, number> {
    return this.counters;
  }

  /**
   * Lifts the counter of a team that becomes active to the lowest of the active teams, so that it has no
   * credit for the time in which it sent nothing.
   */
  activate(team: string, activeTeams: ReadonlySet<string>): void {
    if (activeTeams.has(team)) return;
    const others = [...activeTeams].map((active) => this.counters.get(active) ?? 0);
    if (others.length === 0) return;
    this.counters.set(team, Math.max(this.counters.get(team) ?? 0, Math.min(...others)));
  }

  charge(team: string, tokens: number): void {
    this.counters.set(team, (this.counters.get(team) ?? 0) + tokens);
  }

  /** Forgets all counters; called when no team is active, so that they do not grow without bound. */
  clear(): void {
    this.counters.clear();
  }
}
