/**
 * Retry delays for a flood of jobs beyond a limit. Callers that are refused together and told the same
 * delay would return together and be refused again, so each is told the time at which its own tokens fit.
 */
import type { Timer } from '@jujubelanding/timer';

/** Weight of the latest sample of the drain rate. */
const SAMPLE_WEIGHT = 0.3;

/** Retry delay while nothing has drained yet, so that no rate is known. */
const UNKNOWN_RATE_DELAY_MS = 2000;

/** Shortest delay; the drain is seen by other VMs after about this long. */
const MIN_DELAY_MS = 500;

/** Longest delay. Rates change within seconds, so a later time would be a guess. */
const MAX_DELAY_MS = 15_000;

export class ReturnSchedule {
  private tokensPerMs: number | undefined;

  private sampledTokens = 0;

  private sampledAt: number | undefined;

  /** Time until which the drain is promised to callers that this VM has refused. */
  private promisedUntil = -Infinity;

  constructor(private readonly timer: Pick<Timer, 'now'>) {}

  /** Records the number of drained tokens; a lower number means that old jobs were removed. */
  sample(drainedTokens: number): void {
    const now = this.timer.now();
    const { sampledAt, sampledTokens } = this;
    this.sampledAt = now;
    this.sampledTokens = drainedTokens;
    if (sampledAt === undefined || now <= sampledAt || drainedTokens < sampledTokens) return;
    const rate = (drainedTokens - sampledTokens) / (now - sampledAt);
    const previous = this.tokensPerMs ?? rate;
    this.tokensPerMs = previous + SAMPLE_WEIGHT * (rate - previous);
  }

  /**
   * Returns the delay after which a refused job fits.
   * `excessTokens`: tokens by which the job exceeds the limit now.
   * `entryVms`: number of VMs that refuse callers; each promises its share of the drain.
   */
  next(excessTokens: number, tokens: number, entryVms: number): number {
    const rate = this.tokensPerMs ?? 0;
    if (rate <= 0) return UNKNOWN_RATE_DELAY_MS;
    const now = this.timer.now();
    const fitsAt = now + excessTokens / rate;
    const returnAt = Math.max(fitsAt, this.promisedUntil);
    // A promise beyond the longest delay is not made, so it must not delay later callers.
    const latest = now + MAX_DELAY_MS;
    this.promisedUntil = Math.min(latest, returnAt + (tokens * entryVms) / rate);
    return Math.min(Math.max(returnAt - now, MIN_DELAY_MS), MAX_DELAY_MS);
  }
}
