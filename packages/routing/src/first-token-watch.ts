/** Judges a worker by the first token of one streamed request. */
import type { WorkerLoad } from '@jujubelanding/interfaces';
import type { Subscription, Timer } from '@jujubelanding/timer';

export interface FirstTokenWatchOptions {
  timer: Timer;
  /** Time without a first token after which a worker with free slots is taken to be unreachable. */
  silenceMs: number;
  readLoad: () => WorkerLoad;
  onLatency: (latencyMs: number) => void;
  onTimeout: (sentAt: number) => void;
}

/**
 * Times that requests spend in a queue say nothing about a worker's speed: in an overload, workers whose
 * queue is a little longer would be ejected, and the others would get their requests as well.
 */
export class FirstTokenWatch {
  private readonly sentAt: number;

  private readonly hadFreeSlot: boolean;

  private readonly timeout: Subscription;

  private isAwaitingToken = true;

  constructor(private readonly options: FirstTokenWatchOptions) {
    const { timer, silenceMs, readLoad } = options;
    const { online, slots } = readLoad();
    this.sentAt = timer.now();
    this.hadFreeSlot = online <= slots;
    this.timeout = timer.after(silenceMs, () => this.reportTimeout());
  }

  /** Call with each token; only the first one counts. */
  recordToken(): void {
    if (!this.isAwaitingToken) return;
    this.isAwaitingToken = false;
    this.timeout.cancel();
    if (this.hadFreeSlot) this.options.onLatency(this.options.timer.now() - this.sentAt);
  }

  /** Ends the watch with the request. */
  end(): void {
    this.timeout.cancel();
  }

  private reportTimeout(): void {
    const { online, batch, slots } = this.options.readLoad();
    if (online + batch <= slots) this.options.onTimeout(this.sentAt);
  }
}
