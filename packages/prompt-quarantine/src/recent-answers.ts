/** Maximum number of parts that are remembered; the least recently answered ones are forgotten. */
const MAX_PARTS = 10_000;

/** Prompt parts of the requests that this VM has seen answered. */
export class RecentAnswers {
  /** Least recently answered first. */
  private readonly parts = new Set<string>();

  add(part: string): void {
    this.parts.delete(part);
    this.parts.add(part);
    if (this.parts.size <= MAX_PARTS) return;
    const [oldest] = this.parts;
    this.parts.delete(oldest!);
  }

  has(part: string): boolean {
    return this.parts.has(part);
  }
}
