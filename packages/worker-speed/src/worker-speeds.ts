import { ResponseTimes } from './response-times.js';
import { computeMeanSlowdown, computeSlowdown, USUAL_PERCENT } from './slowdown.js';

/** Expected speed of a worker. */
export interface WorkerSpeed {
  /** Duration of work that begins now, relative to the usual one of the service's workers. */
  slowdown: number;
  /** Age of the worker's last report; undefined if there is none. */
  reportAgeMs: number | undefined;
}

/** Speeds are used for this long after the last report of a worker of the service. */
const ACTIVE_MS = 60_000;

/** Weight of the last answer in the usual duration of a service's answers. */
const DURATION_WEIGHT = 0.05;

/** Deviation from the usual speed, in percent, up to which response times of workers are compared. */
const USUAL_DEVIATION_PERCENT = 15;

/** What the start of a response tells about the speed of its worker. */
export interface ObservedResponse {
  workerId: string;
  /** Duration of work that the worker reports, in percent of the usual. */
  percent: number;
  /** Time to the start of the response; undefined if the request had to queue or failed. */
  responseMs: number | undefined;
  receivedAt: number;
}

type LastReport = Pick<ObservedResponse, 'percent' | 'receivedAt'>;

interface ServiceSpeeds {
  reports: Map<string, LastReport>;
  responseTimes: ResponseTimes;
  /** Usual duration of a whole answer; 0 until the first one. */
  answerMs: number;
  receivedAt: number;
}

/** Speeds of the workers of all services, as far as the workers report theirs. */
export class WorkerSpeeds {
  /** Services by name; only those of which a worker has reported its speed. */
  private readonly services = new Map<string, ServiceSpeeds>();

  /** Records what the start of a response tells about its worker. */
  recordResponse(service: string, response: ObservedResponse): void {
    const { workerId, percent, responseMs, receivedAt } = response;
    const { reports, responseTimes } = this.getOrCreate(service, receivedAt);
    reports.set(workerId, { percent, receivedAt });
    // Times from slow spells would hide the lasting differences, which hold for all the others.
    const isUsual = Math.abs(percent - USUAL_PERCENT) <= USUAL_DEVIATION_PERCENT;
    if (responseMs !== undefined && isUsual) responseTimes.record(workerId, responseMs);
  }

  /** Records the duration of a whole answer. */
  recordAnswer(service: string, durationMs: number): void {
    const speeds = this.services.get(service);
    if (speeds === undefined) return;
    const weight = speeds.answerMs === 0 ? 1 : DURATION_WEIGHT;
    speeds.answerMs += (durationMs - speeds.answerMs) * weight;
  }

  /** Returns the expected speed; undefined if no worker of the service reports its speed. */
  read(service: string, workerId: string, now: number): WorkerSpeed | undefined {
    const speeds = this.services.get(service);
    if (speeds === undefined || now - speeds.receivedAt > ACTIVE_MS) return undefined;
    const lasting = speeds.responseTimes.getRatio(workerId);
    const report = speeds.reports.get(workerId);
    if (report === undefined) return { slowdown: lasting, reportAgeMs: undefined };
    const reportAgeMs = Math.max(0, now - report.receivedAt);
    const aged = { percent: report.percent, ageMs: reportAgeMs };
    const untilFirstEvent = computeSlowdown(aged);
    const untilEnd = computeMeanSlowdown(aged, speeds.answerMs);
    return { slowdown: (lasting * (untilFirstEvent + untilEnd)) / 2, reportAgeMs };
  }

  /** Removes workers for which the condition is false, and services without workers. */
  retain(isListed: (workerId: string) => boolean): void {
    for (const [name, { reports, responseTimes }] of this.services) {
      [...reports.keys()].filter((id) => !isListed(id)).forEach((id) => reports.delete(id));
      responseTimes.retain(isListed);
      if (reports.size === 0) this.services.delete(name);
    }
  }

  private getOrCreate(service: string, receivedAt: number): ServiceSpeeds {
    const speeds = this.services.get(service) ?? {
      reports: new Map<string, LastReport>(),
      responseTimes: new ResponseTimes(),
      answerMs: 0,
      receivedAt,
    };
    speeds.receivedAt = Math.max(speeds.receivedAt, receivedAt);
    this.services.set(service, speeds);
    return speeds;
  }
}
