import type { FleetResults, ResultCounts } from '@jujubelanding/interfaces';
import type { Timer } from '@jujubelanding/timer';
import type { GroupCollector } from './group-collector.js';
import { decodeResults, selectFailing, type ResultsMessage } from './shared-results.js';

export interface ResultExchangeOptions {
  timer: Pick<Timer, 'now'>;
  collector: GroupCollector;
  /** True while this VM sums the counts itself. */
  isCollecting: () => boolean;
  /**
   * Reads the results of this VM's requests: of workers with failures, and of those that are listed because
   * other VMs have seen failures of them.
   */
  readResults?: ((isListed: (workerId: string) => boolean) => ResultCounts) | undefined;
}

const NO_RESULTS: ResultCounts = { workers: [], services: [] };

/** Results of all VMs, as far as this VM knows them from load messages. */
export class ResultExchange {
  private received = NO_RESULTS;

  private receivedAt = -Infinity;

  constructor(private readonly options: ResultExchangeOptions) {}

  /** Records the sums over the fleet from the collector of this VM. */
  receive(message: ResultsMessage | undefined): void {
    this.received = decodeResults(message);
    this.receivedAt = this.options.timer.now();
  }

  readFleet(): FleetResults {
    const { collector, isCollecting, timer } = this.options;
    if (!isCollecting()) return { ...this.received, ageMs: timer.now() - this.receivedAt };
    return { ...selectFailing(collector.sumFleetResults(this.readOwn())), ageMs: 0 };
  }

  /** Reads what this VM shares with the others. */
  readOwn(): ResultCounts {
    const { collector, isCollecting, readResults } = this.options;
    if (readResults === undefined) return NO_RESULTS;
    const others = isCollecting()
      ? selectFailing(collector.sumFleetResults(NO_RESULTS))
      : this.received;
    const listed = new Set(others.workers.map(([workerId]) => workerId));
    return readResults((workerId) => listed.has(workerId));
  }
}
