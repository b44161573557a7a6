/** Measures first-token latency of one streamed request and detects a missing first token. */
import type { WorkerLoad } from '@jujubelanding/interfaces';
import type { Subscription, Timer } from '@jujubelanding/timer';

export interface FirstTokenWatchOptions {
  timer: Timer;
  /** Time to first token after which a worker with free slots is considered unreachable. */
  silenceMs: number;
  readLoad: () => WorkerLoad;
  onLatency: (latencyMs: number) => void;
  onTimeout: (sentAt: number) => void;
  /** Called after `onTimeout` if a token arrives nevertheless, or when the request ends. */
  onTimeoutWithdrawn?: () => void;
}

/**
 * Watches one streamed request for its first token. Requests that had to queue are ignored, because
 * queueing time does not measure a worker's speed: under overload, workers with slightly longer
 * queues would be ejected and their load moved to the others.
 */
export class FirstTokenWatch {
  private readonly sentAt: number;

  private readonly hadFreeSlot: boolean;

  private readonly timeout: Subscription;

  private isAwaitingToken = true;

  private hasTimedOut = false;

  constructor(private readonly options: FirstTokenWatchOptions) {
    const { timer, silenceMs, readLoad } = options;
    const { online, slots } = readLoad();
    this.sentAt = timer.now();
    this.hadFreeSlot = online <= slots;
    this.timeout = timer.after(silenceMs, () => this.reportTimeout());
  }

  /** Must be called for each token; only the first one counts. */
  recordToken(): void {
    if (!this.isAwaitingToken) return;
    this.isAwaitingToken = false;
    this.end();
    if (this.hadFreeSlot) this.options.onLatency(this.options.timer.now() - this.sentAt);
  }

  /** Stops the watch when the request ends. */
  end(): void {
    this.timeout.cancel();
    if (!this.hasTimedOut) return;
    this.hasTimedOut = false;
    this.options.onTimeoutWithdrawn?.();
  }

  private reportTimeout(): void {
    const { online, batch, slots } = this.options.readLoad();
    if (online + batch > slots) return;
    this.hasTimedOut = true;
    this.options.onTimeout(this.sentAt);
  }
}
