/** Wait of an item that was not served twice; doubles with each further time. */
const INITIAL_DELAY_MS = 400;

/** The reason may pass, for example once a worker has more free memory. */
const MAX_DELAY_MS = 5000;

/** Runs without effect that are repeated at once, since a second worker tells who is at fault. */
const IMMEDIATE_RETRIES = 1;

/** Runs of one batch item in a row with which workers did not serve it. */
export class ItemBackoff {
  private readonly workerIds = new Set<string>();

  private count = 0;

  /**
   * Records that the worker did not serve the item; returns true if the item is at fault, because another
   * worker did not serve it either.
   */
  record(workerId: string): boolean {
    this.workerIds.add(workerId);
    this.count += 1;
    return this.workerIds.size > 1;
  }

  /** True if the item was not served more than once, so that others should come first. */
  get isRepeated(): boolean {
    return this.count > 1;
  }

  /** True if the worker did not serve the item. */
  includes(workerId: string): boolean {
    return this.workerIds.has(workerId);
  }

  /** Time to wait before the item is run again. */
  get delayMs(): number {
    const doublings = this.count - IMMEDIATE_RETRIES - 1;
    return doublings < 0 ? 0 : Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** doublings);
  }

  /** Records that a worker has served the item. */
  reset(): void {
    this.workerIds.clear();
    this.count = 0;
  }
}
