/** Bound on the requests of all services that this VM has in progress. */
import { RunningMean } from './running-mean.js';

export class InFlightBound {
  private running = 0;

  private readonly durationMs = new RunningMean();

  constructor(private readonly max = Infinity) {}

  /** Number of further requests that may start. */
  get free(): number {
    return this.max - this.running;
  }

  /** Time between two ends while the bound is reached; undefined until a request has ended. */
  get endIntervalMs(): number | undefined {
    const { value } = this.durationMs;
    return value === undefined ? undefined : value / this.max;
  }

  recordStart(): void {
    this.running += 1;
  }

  recordEnd(durationMs: number): void {
    this.running -= 1;
    this.durationMs.add(durationMs);
  }
}
