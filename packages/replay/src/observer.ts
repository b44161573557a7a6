/** Observes the requests to backend servers independently of the system under test. */
import type { ModelEngine, PlainService, StreamSink } from '@jujubelanding/stand-ins';
import type { Timer } from '@jujubelanding/timer';
import { SlotMeter, StreamKind } from './slot-meter.js';
import { readJobTag, readRequestTag, type RequestTag } from './tags.js';

/** Attempt of a request or batch item that a worker admitted. */
export interface Dispatch {
  at: number;
  endedAt?: number;
  workerId: string;
  /** Name of the online request. */
  request?: string;
  /** Idempotency key of the online request. */
  key?: string;
  /** Event id of the batch item's job. */
  job?: string;
}

export class Observer {
  readonly dispatches: Dispatch[] = [];

  readonly meterByWorker = new Map<string, SlotMeter>();

  constructor(private readonly timer: Timer) {}

  watchEngine(engine: ModelEngine): void {
    const start = engine.start.bind(engine);
    const { workerId } = engine;
    const meter = new SlotMeter(engine.settings.slots, () => this.timer.now());
    this.meterByWorker.set(workerId, meter);
    engine.start = (generation, sink) => {
      const prompt = generation.messages.at(-1)?.content ?? '';
      const job = readJobTag(prompt);
      const dispatch = this.createDispatch(workerId, readRequestTag(prompt), job);
      const release = meter.countStream(job === undefined ? StreamKind.Online : StreamKind.Batch);
      const end = (): void => {
        dispatch.endedAt ??= this.timer.now();
        release();
      };
      const started = start(generation, this.watchSink(sink, end));
      if (started.isOk()) this.dispatches.push(dispatch);
      else end();
      return started;
    };
  }

  watchPlainService(workerId: string, service: PlainService): void {
    const run = service.run.bind(service);
    service.run = (request) => {
      const previousCount = service.executions.get(request.requestId) ?? 0;
      const reply = run(request);
      // A request that is refused as not run leaves the count unchanged.
      if ((service.executions.get(request.requestId) ?? 0) === previousCount) return reply;
      const tag = readRequestTag(Buffer.from(request.body).toString('utf8'));
      const dispatch = this.createDispatch(workerId, tag);
      this.dispatches.push(dispatch);
      void reply.then(() => {
        dispatch.endedAt = this.timer.now();
      });
      return reply;
    };
  }

  listByRequest(request: string): Dispatch[] {
    return this.dispatches.filter((dispatch) => dispatch.request === request);
  }

  private createDispatch(workerId: string, tag: RequestTag | undefined, job?: string): Dispatch {
    return {
      at: this.timer.now(),
      workerId,
      ...tag,
      ...(job === undefined ? {} : { job }),
    };
  }

  private watchSink(sink: StreamSink, end: () => void): StreamSink {
    return {
      onToken: (token) => sink.onToken(token),
      onEnd: (event) => {
        end();
        sink.onEnd(event);
      },
      onFault: (fault) => {
        end();
        sink.onFault(fault);
      },
    };
  }
}
