/** Mean that follows the newest values. */

/** Weight of the newest value. */
const NEWEST_WEIGHT = 0.2;

export class RunningMean {
  private mean: number | undefined;

  /** Undefined until a value was added. */
  get value(): number | undefined {
    return this.mean;
  }

  add(value: number): void {
    const mean = this.mean ?? value;
    this.mean = mean + (value - mean) * NEWEST_WEIGHT;
  }
}
