/** Response times of the workers of one service, compared with each other. */

interface WorkerTimes {
  /** Mean of the logarithms of the response times, recent ones weighted more. */
  meanLog: number;
  samples: number;
}

/** Number of response times over which the mean of a worker is formed. */
const MAX_SAMPLES = 32;

/** Weight, in response times, of the assumption that a worker is as fast as the others. */
const PRIOR_SAMPLES = 2;

/** Bounds of the ratio, so that a few odd times neither attract nor repel all requests. */
const MIN_RATIO = 0.5;
const MAX_RATIO = 2;

/** Shortest response time; the timer may count whole milliseconds. */
const MIN_DURATION_MS = 0.5;

export class ResponseTimes {
  private readonly workers = new Map<string, WorkerTimes>();

  /** Sum of the means of all workers. */
  private sumOfMeans = 0;

  record(workerId: string, durationMs: number): void {
    const log = Math.log(Math.max(MIN_DURATION_MS, durationMs));
    const previous = this.workers.get(workerId) ?? { meanLog: log, samples: 0 };
    const samples = Math.min(MAX_SAMPLES, previous.samples + 1);
    const meanLog = previous.meanLog + (log - previous.meanLog) / samples;
    this.sumOfMeans += previous.samples === 0 ? meanLog : meanLog - previous.meanLog;
    this.workers.set(workerId, { meanLog, samples });
  }

  /** Returns the response time of a worker relative to that of the service's workers. */
  getRatio(workerId: string): number {
    const times = this.workers.get(workerId);
    if (times === undefined) return 1;
    const difference = times.meanLog - this.sumOfMeans / this.workers.size;
    const ratio = Math.exp((difference * times.samples) / (times.samples + PRIOR_SAMPLES));
    return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
  }

  /** Removes workers for which the condition is false. */
  retain(isKept: (workerId: string) => boolean): void {
    [...this.workers.keys()].filter((id) => !isKept(id)).forEach((id) => this.workers.delete(id));
    this.sumOfMeans = [...this.workers.values()].reduce((sum, { meanLog }) => sum + meanLog, 0);
  }
}
