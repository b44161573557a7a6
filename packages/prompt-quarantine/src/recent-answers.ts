/** Number of answered requests whose parts are counted. */
const SAMPLE_REQUESTS = 500;

/** A part in at least this share of the answered requests is a common one. */
const COMMON_SHARE = 0.05;

/**
 * A common part is missed after this many times the requests in which it comes once on average; by chance
 * it stays away that long in 5 of 100 cases.
 */
const MISSING_FACTOR = 3;

/** Maximum number of parts that are remembered; the least recently answered ones are forgotten. */
const MAX_PARTS = 10_000;

/** Prompt parts of the requests that this VM has seen answered. */
export class RecentAnswers {
  /** Number of answered requests before the last one with the part, least recent first. */
  private readonly lastIndex = new Map<string, number>();

  private readonly sample: (readonly string[])[] = [];

  private readonly counts = new Map<string, number>();

  private answers = 0;

  add(parts: readonly string[]): void {
    this.answers += 1;
    this.sample.push(parts);
    parts.forEach((part) => {
      this.count(part, 1);
      this.lastIndex.delete(part);
      this.lastIndex.set(part, this.answers);
    });
    if (this.sample.length > SAMPLE_REQUESTS) {
      this.sample.shift()!.forEach((part) => this.count(part, -1));
    }
    for (const oldest of this.lastIndex.keys()) {
      if (this.lastIndex.size <= MAX_PARTS) break;
      this.lastIndex.delete(oldest);
    }
  }

  has(part: string): boolean {
    return this.lastIndex.has(part);
  }

  /**
   * True for a common part that is not missing among the answers yet. Whatever crashes workers, such a part
   * is among the requests that are lost, so the crashes say nothing about it.
   */
  isExpected(part: string): boolean {
    const share = (this.counts.get(part) ?? 0) / this.sample.length;
    const answersSince = this.answers - (this.lastIndex.get(part) ?? 0);
    return share >= COMMON_SHARE && answersSince < MISSING_FACTOR / share;
  }

  private count(part: string, change: number): void {
    const count = (this.counts.get(part) ?? 0) + change;
    if (count > 0) this.counts.set(part, count);
    else this.counts.delete(part);
  }
}
