/** Views of the platform from one host: replies arrive with the link's delay, or not at all. */
import { err, type Result } from 'neverthrow';
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { BackendServers, WorkerAddress } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import type {
  Generation,
  LoadReport,
  Order,
  ServiceRequest,
  ServiceResponse,
  StreamEnd,
  Token,
} from '@jujubelanding/types';
import type { Host } from './host.js';
import type { Links } from './links.js';

type Method = (...parameters: never[]) => Promise<unknown>;

/** Delivers replies of all methods of a target through the host; a crashed host never sees them. */
export const deliverThrough = <T extends object>(host: Host, target: T): T =>
  new Proxy(target, {
    get: (object, property) => {
      const member: unknown = Reflect.get(object, property);
      if (typeof member !== 'function') return member;
      return (...parameters: never[]) =>
        new Promise((resolve) => {
          void Reflect.apply(member as Method, object, parameters).then((reply) =>
            host.deliver(() => resolve(reply)),
          );
        });
    },
  });

const createCutFault = (step: string, peer: string, outcome: Outcome): Fault => ({
  code: outcome === Outcome.NotRun ? FaultCode.Unavailable : FaultCode.Timeout,
  outcome,
  step,
  peer,
  message: 'the link is down',
});

/** Backend servers as reached from one host over links that may be cut. */
export class HostBackendServers implements BackendServers {
  constructor(
    private readonly host: Host,
    private readonly timer: Timer,
    private readonly links: Links,
    private readonly target: BackendServers,
  ) {}

  async generate(
    worker: WorkerAddress,
    generation: Generation,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd> {
    const step = 'generate';
    return this.exchange(worker, step, signal, (linked) =>
      this.target.generate(
        worker,
        generation,
        (token) => {
          if (this.links.isCut(worker.id, this.host.id)) return;
          this.host.deliver(() => onToken(token));
        },
        linked,
      ),
    );
  }

  cancel(worker: WorkerAddress, requestId: string): Reply<void> {
    return this.exchange(worker, 'cancel', undefined, () => this.target.cancel(worker, requestId));
  }

  call(
    worker: WorkerAddress,
    request: ServiceRequest,
    signal: AbortSignal,
  ): Reply<ServiceResponse> {
    return this.exchange(worker, 'call', signal, (linked) =>
      this.target.call(worker, request, linked),
    );
  }

  readLoad(worker: WorkerAddress, afterSequence: number): Reply<LoadReport> {
    return this.exchange(worker, 'readLoad', undefined, () =>
      this.target.readLoad(worker, afterSequence),
    );
  }

  sendOrder(worker: WorkerAddress, order: Order): Reply<void> {
    return this.exchange(worker, 'sendOrder', undefined, () =>
      this.target.sendOrder(worker, order),
    );
  }

  exportCache(worker: WorkerAddress, requestId: string): Reply<Uint8Array> {
    return this.exchange(worker, 'exportCache', undefined, () =>
      this.target.exportCache(worker, requestId),
    );
  }

  importCache(worker: WorkerAddress, requestId: string, cache: Uint8Array): Reply<void> {
    return this.exchange(worker, 'importCache', undefined, () =>
      this.target.importCache(worker, requestId, cache),
    );
  }

  /**
   * Sends a request over the link and returns its reply. A cut link before sending is a refused
   * connection; one that is cut later loses the reply, and the request may have run.
   */
  private async exchange<T>(
    worker: WorkerAddress,
    step: string,
    signal: AbortSignal | undefined,
    send: (signal: AbortSignal) => Reply<T>,
  ): Reply<T> {
    const delay = this.links.delayMs(this.host.id, worker.id);
    await this.pass(delay);
    if (this.links.isCut(this.host.id, worker.id)) {
      return err(createCutFault(step, worker.id, Outcome.NotRun));
    }
    const connection = new AbortController();
    const abort = (): void => connection.abort();
    if (signal?.aborted === true) abort();
    signal?.addEventListener('abort', abort, { once: true });
    // The operating system of a crashed host resets its connections, which ends its streams.
    const removeCrashHandler = this.host.onCrash(abort);
    const reply = await this.awaitReply(send(connection.signal));
    removeCrashHandler();
    signal?.removeEventListener('abort', abort);
    await this.pass(delay);
    if (this.links.isCut(worker.id, this.host.id)) {
      return err(createCutFault(step, worker.id, Outcome.OutcomeUnknown));
    }
    return reply;
  }

  private awaitReply<T>(reply: Reply<T>): Reply<T> {
    return new Promise<Result<T, Fault>>((resolve) => {
      void reply.then((result) => this.host.deliver(() => resolve(result)));
    });
  }

  private pass(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timer.after(delayMs, () => this.host.deliver(resolve));
    });
  }
}
