/** Weight store whose transfers share a rate limit. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { WeightDescription, WeightStore } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import { Counters } from './counters.js';
import { createLinkFaults, Link, Reachability, type LinkFaults } from './link.js';

const TIMEOUT_MS = 2000;

/** Longest queueing delay; a transfer that would wait longer is refused. */
const MAX_QUEUE_DELAY_MS = 60_000;

export interface WeightStoreServiceOptions {
  timer: Timer;
  random: Random;
  bytesPerSecond: number;
}

export interface WeightStoreClient extends WeightStore {
  readonly faults: LinkFaults;
}

export class WeightStoreService {
  readonly faults = createLinkFaults();

  readonly counters = new Counters();

  bytesPerSecond: number;

  private readonly weights = new Map<string, number>();

  /** Time at which all accepted transfers are complete. */
  private busyUntil = 0;

  constructor(private readonly options: WeightStoreServiceOptions) {
    this.bytesPerSecond = options.bytesPerSecond;
  }

  set(weight: WeightDescription): void {
    this.weights.set(weight.name, weight.bytes);
  }

  describe(name: string): Result<WeightDescription, Fault> {
    this.counters.add('describe');
    const bytes = this.weights.get(name);
    if (bytes !== undefined) return ok({ name, bytes });
    return err(this.createFault('describe', FaultCode.NotFound, `weight ${name} does not exist`));
  }

  /** Queues a transfer behind those accepted earlier; resolves when it is complete. */
  async transfer(name: string): Reply<WeightDescription> {
    const isReachable = await this.awaitConnection();
    if (!isReachable) {
      return err(
        this.createFault('transfer', FaultCode.Unavailable, 'the weight store is unreachable'),
      );
    }
    const weight = this.describe(name);
    if (weight.isErr()) return weight;
    this.counters.add('transfer');
    const now = this.options.timer.now();
    const start = Math.max(now, this.busyUntil);
    if (start - now > MAX_QUEUE_DELAY_MS) {
      this.counters.add('refused');
      const fault = this.createFault(
        'transfer',
        FaultCode.RateLimited,
        'the transfer would wait too long for the rate limit',
      );
      return err({ ...fault, retryAfterMs: start - now });
    }
    this.busyUntil = start + (weight.value.bytes / this.bytesPerSecond) * 1000;
    await this.options.timer.sleep(this.busyUntil - now);
    this.counters.add('transferredBytes', weight.value.bytes);
    return weight;
  }

  createClient(name: string): WeightStoreClient {
    const faults = createLinkFaults();
    const link = new Link({
      timer: this.options.timer,
      random: this.options.random,
      peer: `weight-store(${name})`,
      faults: [this.faults, faults],
      timeoutMs: TIMEOUT_MS,
    });
    return {
      faults,
      describe: (weight) => link.call('describeWeight', () => this.describe(weight)),
      readRateLimit: () =>
        link.call('readRateLimit', () => ok({ bytesPerSecond: this.bytesPerSecond })),
    };
  }

  /** Returns false when the service refuses the connection, or after the timeout when it is cut off. */
  private async awaitConnection(): Promise<boolean> {
    const { reachability } = this.faults;
    if (reachability === Reachability.Cut) await this.options.timer.sleep(TIMEOUT_MS);
    return reachability === Reachability.Up;
  }

  private createFault(step: string, code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.NotRun, step, peer: 'weight-store', message };
  }
}
