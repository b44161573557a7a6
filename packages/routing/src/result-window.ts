/** Results of the requests that this VM sent, over a decaying window. */
import type { ResultCount, ResultCounts } from '@jujubelanding/interfaces';
import type { Timer } from '@jujubelanding/timer';

/** Time in which the weight of a result falls to 37%; after the window of 10 s it is 2%. */
const DECAY_MS = 2500;

/** Counts below this are dropped. */
const MIN_COUNT = 0.01;

export interface Counts {
  successes: number;
  failures: number;
}

/** Returns the weight of a result of the given age relative to a new one. */
export const computeDecay = (ageMs: number): number => Math.exp(-ageMs / DECAY_MS);

interface TimedCounts extends Counts {
  /** Time to which the counts have decayed. */
  at: number;
}

const decayTo = (counts: TimedCounts, now: number): TimedCounts => {
  const decay = computeDecay(now - counts.at);
  return { successes: counts.successes * decay, failures: counts.failures * decay, at: now };
};

const isEmpty = ({ successes, failures }: Counts): boolean => successes + failures < MIN_COUNT;

/** Counts the results of this VM by worker and by service. */
export class ResultWindow {
  private readonly workers = new Map<string, TimedCounts>();

  private readonly services = new Map<string, TimedCounts>();

  constructor(private readonly timer: Pick<Timer, 'now'>) {}

  record(service: string, workerId: string, isFailure: boolean): void {
    const change = { successes: isFailure ? 0 : 1, failures: isFailure ? 1 : 0 };
    this.add(this.workers, workerId, change);
    this.add(this.services, service, change);
  }

  /** Removes a failure that was recorded at the given time and proved to be none. */
  retractFailure(service: string, workerId: string, recordedAt: number): void {
    const change = { successes: 0, failures: -computeDecay(this.timer.now() - recordedAt) };
    this.add(this.workers, workerId, change);
    this.add(this.services, service, change);
  }

  /**
   * Returns the current counts. Workers without failures are contained only if `isListed`, that is if
   * another VM has seen a failure of them: the successes of all VMs count for the failure rate.
   */
  read(isListed: (workerId: string) => boolean): ResultCounts {
    return {
      workers: this.list(this.workers).filter(
        ([id, , failures]) => failures >= MIN_COUNT || isListed(id),
      ),
      services: this.list(this.services),
    };
  }

  private add(counts: Map<string, TimedCounts>, id: string, change: Counts): void {
    const now = this.timer.now();
    const { successes, failures } = decayTo(
      counts.get(id) ?? { successes: 0, failures: 0, at: now },
      now,
    );
    counts.set(id, {
      successes: successes + change.successes,
      failures: Math.max(0, failures + change.failures),
      at: now,
    });
  }

  private list(counts: Map<string, TimedCounts>): ResultCount[] {
    const now = this.timer.now();
    const current: ResultCount[] = [];
    for (const [id, timed] of counts) {
      const decayed = decayTo(timed, now);
      if (isEmpty(decayed)) counts.delete(id);
      else current.push([id, decayed.successes, decayed.failures]);
    }
    return current;
  }
}
