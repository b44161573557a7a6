/** Observes the speed of workers in the responses to the requests of this VM. */
import type { Directory, WorkerLoads } from '@jujubelanding/interfaces';
import type { Metrics } from '@jujubelanding/metrics';
import { isSuccess, type RequestForwarder } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { WorkerSpeeds } from '@jujubelanding/worker-speed';

/** Creates the speeds of workers, which forget workers that have left. */
export const createSpeeds = (workers: Pick<Directory, 'find' | 'onChange'>): WorkerSpeeds => {
  const speeds = new WorkerSpeeds();
  workers.onChange(() => speeds.retain((workerId) => workers.find(workerId) !== undefined));
  return speeds;
};

export interface SpeedObserverOptions {
  backends: RequestForwarder;
  speeds: Pick<WorkerSpeeds, 'recordResponse' | 'recordAnswer'>;
  timer: Pick<Timer, 'now'>;
  loads: Pick<WorkerLoads, 'get'>;
  metrics: Metrics;
}

/**
 * Forwards requests, and records the speeds that workers report and the times of successful responses.
 * Errors may come at once, and resumed streams begin late in the work, so their times are not compared.
 */
export class SpeedObserver implements RequestForwarder {
  constructor(private readonly options: SpeedObserverOptions) {}

  readonly forward: RequestForwarder['forward'] = async (worker, request, receiver, signal) => {
    const { backends, speeds, timer, loads, metrics } = this.options;
    const sentAt = timer.now();
    const { online, batch, slots } = loads.get(worker.id);
    const isComparable = online + batch <= slots && request.resumeAfter === undefined;
    const reply = await backends.forward(
      worker,
      request,
      {
        onStart: (response, resume) => {
          const percent = response.load?.durationPercent;
          if (percent !== undefined) {
            const receivedAt = timer.now();
            const isTimed = isComparable && isSuccess(response.status);
            const responseMs = isTimed ? receivedAt - sentAt : undefined;
            const observed = { workerId: worker.id, percent, responseMs, receivedAt };
            speeds.recordResponse(worker.service, observed);
            metrics.increment('routing.speed_reports', { service: worker.service });
          }
          receiver.onStart(response, resume);
        },
        onChunk: (chunk) => receiver.onChunk(chunk),
        ...(receiver.isPaused === undefined ? {} : { isPaused: () => receiver.isPaused!() }),
      },
      signal,
    );
    if (reply.isOk() && isSuccess(reply.value.status)) {
      speeds.recordAnswer(worker.service, timer.now() - sentAt);
    }
    return reply;
  };

  close(): Promise<void> {
    return this.options.backends.close();
  }
}
