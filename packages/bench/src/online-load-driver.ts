/** Sends online load through the dispatchers of a fleet and records what callers observe. */
import { Idempotency } from '@jujubelanding/types';
import type { BenchFleet } from './bench-fleet.js';
import type { Arrival } from './online-load.js';
import { MODEL_NAME } from './static-state.js';
import { Samples } from './statistics.js';
import { isInWindow, type MeasurementWindow } from './measurement-window.js';

const DEADLINE_MS = 60_000;

const TEAM = 'bench';

/**
 * Bounds for the drain after the end of the load; the minimum lets preempted batch items resume.
 */
const MIN_DRAIN_MS = 4000;
const MAX_DRAIN_MS = 70_000;
const DRAIN_STEP_MS = 1000;

/** Measurements of the requests that arrived within the window. */
export interface OnlineMeasurements {
  firstTokenMs: Samples;
  interTokenMs: Samples;
  requests: number;
  failed: number;
  promptCharacters: number;
}

export class OnlineLoadDriver {
  readonly measurements: OnlineMeasurements = {
    firstTokenMs: new Samples(),
    interTokenMs: new Samples(),
    requests: 0,
    failed: 0,
    promptCharacters: 0,
  };

  private next = 0;

  private running = 0;

  constructor(
    private readonly fleet: BenchFleet,
    private readonly arrivals: readonly Arrival[],
    private readonly window: MeasurementWindow,
  ) {}

  start(): void {
    this.scheduleNext();
  }

  /** Advances the virtual time until all requests have ended, up to `MAX_DRAIN_MS`. */
  async drain(): Promise<void> {
    const { timer } = this.fleet;
    const end = timer.now() + MAX_DRAIN_MS;
    await timer.advance(MIN_DRAIN_MS);
    while (this.running > 0 && timer.now() < end) await timer.advance(DRAIN_STEP_MS);
  }

  private scheduleNext(): void {
    const arrival = this.arrivals[this.next];
    if (arrival === undefined) return;
    this.next += 1;
    this.fleet.timer.after(arrival.at - this.fleet.timer.now(), () => {
      void this.sendRequest(arrival);
      this.scheduleNext();
    });
  }

  private async sendRequest(arrival: Arrival): Promise<void> {
    const { timer, nodes } = this.fleet;
    const { requestId, messages, maxTokens, at } = arrival;
    const isCounted = isInWindow(this.window, at);
    let lastTokenAt: number | undefined;
    const onToken = (): void => {
      const now = timer.now();
      if (isCounted && lastTokenAt === undefined) this.measurements.firstTokenMs.add(now - at);
      else if (isCounted) this.measurements.interTokenMs.add(now - lastTokenAt!);
      lastTokenAt = now;
    };
    this.running += 1;
    const result = await nodes[arrival.entryVm]!.dispatcher.generate(
      {
        generation: { requestId, model: MODEL_NAME, messages, maxTokens },
        idempotency: Idempotency.Idempotent,
        team: TEAM,
        deadline: timer.now() + DEADLINE_MS,
      },
      onToken,
      new AbortController().signal,
    );
    this.running -= 1;
    if (!isCounted) return;
    this.measurements.requests += 1;
    this.measurements.promptCharacters += messages.reduce(
      (sum, { content }) => sum + content.length,
      0,
    );
    if (result.isErr()) this.measurements.failed += 1;
  }
}
