/** Metrics of batch throughput, aggregated over one second to keep the number of samples low. */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Subscription } from '@jujubelanding/timer';

const FLUSH_INTERVAL_MS = 1000;

export enum ItemOutcome {
  Succeeded = 'succeeded',
  Failed = 'failed',
  /** Finished, but its chunk was then stopped here, and runs again elsewhere or not at all. */
  Discarded = 'discarded',
}

export class Throughput {
  private readonly items = new Map<ItemOutcome, number>();

  private tokens = 0;

  constructor(private readonly io: Pick<EntryVmIo, 'timer' | 'metrics'>) {}

  /** Starts periodic flushes; cancelling the subscription flushes once more. */
  start(): Subscription {
    const flushing = this.io.timer.every(FLUSH_INTERVAL_MS, () => this.flush());
    return {
      cancel: () => {
        flushing.cancel();
        this.flush();
      },
    };
  }

  countItems(outcome: ItemOutcome, count = 1): void {
    this.items.set(outcome, (this.items.get(outcome) ?? 0) + count);
  }

  /** Counts tokens received from workers, including those of unfinished attempts. */
  countTokens(count: number): void {
    this.tokens += Math.max(0, count);
  }

  private flush(): void {
    const { metrics } = this.io;
    this.items.forEach((count, outcome) => {
      if (count > 0) metrics.increment('batch.items', { outcome }, count);
    });
    if (this.tokens > 0) metrics.increment('batch.tokens', {}, this.tokens);
    this.items.clear();
    this.tokens = 0;
  }
}
