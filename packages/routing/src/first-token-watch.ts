/** Judges a worker by the first token of one streamed request. */
import type { WorkerLoad } from '@jujubelanding/interfaces';
import type { Subscription, Timer } from '@jujubelanding/timer';

export interface FirstTokenWatchOptions {
  timer: Timer;
  /** Time without a first token after which a worker with free slots is taken to be unreachable. */
  silenceMs: number;
  readLoad: () => WorkerLoad;
  onLatency: (latencyMs: number) => void;
  onSilence: (sentAt: number) => void;
}

/**
 * Times that requests spend in a queue say nothing about a worker's speed: in an overload, workers whose
 * queue is a little longer would be ejected, and the others would get their requests as well.
 */
export class FirstTokenWatch {
  private readonly sentAt: number;

  private readonly hadFreeSlot: boolean;

  private readonly silence: Subscription;

  private isFirst = true;

  constructor(private readonly options: FirstTokenWatchOptions) {
    const { timer, silenceMs, readLoad } = options;
    const { online, slots } = readLoad();
    this.sentAt = timer.now();
    this.hadFreeSlot = online <= slots;
    this.silence = timer.after(silenceMs, () => this.reportSilence());
  }

  /** Call with each token; only the first one counts. */
  recordToken(): void {
    if (!this.isFirst) return;
    this.isFirst = false;
    this.silence.cancel();
    if (this.hadFreeSlot) this.options.onLatency(this.options.timer.now() - this.sentAt);
  }

  /** Ends the watch with the request. */
  end(): void {
    this.silence.cancel();
  }

  private reportSilence(): void {
    const { online, batch, slots } = this.options.readLoad();
    if (online + batch <= slots) this.options.onSilence(this.sentAt);
  }
}
