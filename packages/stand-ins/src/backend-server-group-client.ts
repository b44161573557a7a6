/** Client of the backend servers in the same process, with its own faults. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { BackendServers, WorkerAddress } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import type { Generation, StreamEnd, Token } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import type { ModelEngine } from './engine/model-engine.js';
import { ClientStream } from './client-stream.js';
import { createLinkFaults, Link, type LinkFaults } from './link.js';
import type { PlainService } from './plain-service.js';

/** Timeout of calls other than generations. */
const CALL_TIMEOUT_MS = 2000;

/** Timeout of a call to a plain service; callers abort it earlier through the signal. */
const SERVICE_TIMEOUT_MS = 60_000;

/** Idle timeout of a stream: the longest time without a token. */
const STREAM_IDLE_TIMEOUT_MS = 10_000;

export interface BackendServerGroupOptions {
  timer: Timer;
  random: Random;
  callTimeoutMs?: number;
  streamIdleTimeoutMs?: number;
}

export interface BackendServersClient extends BackendServers {
  /** Faults on this client's paths to all workers. */
  readonly faults: LinkFaults;
  /** Faults on this client's path to one worker. */
  getFaultsTo(workerId: string): LinkFaults;
}

/** Looks up the workers that currently exist. */
export interface WorkerLookup {
  readonly options: BackendServerGroupOptions;
  findEngine(workerId: string): ModelEngine | undefined;
  findPlainService(workerId: string): PlainService | undefined;
}

export class BackendServerGroupClient implements BackendServersClient {
  readonly faults = createLinkFaults();

  private readonly faultsByWorker = new Map<string, LinkFaults>();

  constructor(
    private readonly workerLookup: WorkerLookup,
    private readonly name: string,
  ) {}

  getFaultsTo(workerId: string): LinkFaults {
    const known = this.faultsByWorker.get(workerId);
    if (known !== undefined) return known;
    const faults = createLinkFaults();
    this.faultsByWorker.set(workerId, faults);
    return faults;
  }

  async generate(
    worker: WorkerAddress,
    generation: Generation,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd> {
    const engine = this.workerLookup.findEngine(worker.id);
    if (engine === undefined) return err(this.createUnavailableFault(worker, 'generate'));
    const { timer, streamIdleTimeoutMs } = this.workerLookup.options;
    const idleTimeoutMs = streamIdleTimeoutMs ?? STREAM_IDLE_TIMEOUT_MS;
    const link = this.createLink(worker, engine.faults, idleTimeoutMs);
    return new ClientStream({ timer, link, engine, idleTimeoutMs, onToken }).run(
      generation,
      signal,
    );
  }

  async cancel(worker: WorkerAddress, requestId: string): Reply<void> {
    return this.callEngine(worker, 'cancel', (engine) => ok(engine.cancel(requestId)));
  }

  async call(
    worker: WorkerAddress,
    request: Parameters<BackendServers['call']>[1],
    signal: AbortSignal,
  ): ReturnType<BackendServers['call']> {
    const service = this.workerLookup.findPlainService(worker.id);
    if (service === undefined) return err(this.createUnavailableFault(worker, 'call'));
    const link = this.createLink(worker, service.faults, SERVICE_TIMEOUT_MS);
    if (signal.aborted) {
      return err(link.createFault('call', FaultCode.Cancelled, Outcome.NotRun));
    }
    return new Promise((resolve) => {
      const abort = (): void => {
        resolve(err(link.createFault('call', FaultCode.Cancelled, Outcome.OutcomeUnknown)));
      };
      signal.addEventListener('abort', abort, { once: true });
      void link
        .call('call', () => service.run(request))
        .then((response) => {
          signal.removeEventListener('abort', abort);
          resolve(response);
        });
    });
  }

  async readLoad(
    worker: WorkerAddress,
    afterSequence: number,
  ): ReturnType<BackendServers['readLoad']> {
    return this.callEngine(worker, 'readLoad', (engine) => ok(engine.readLoad(afterSequence)));
  }

  async sendOrder(
    worker: WorkerAddress,
    order: Parameters<BackendServers['sendOrder']>[1],
  ): Reply<void> {
    return this.callEngine(worker, 'sendOrder', (engine) => engine.sendOrder(order));
  }

  async exportCache(worker: WorkerAddress, requestId: string): Reply<Uint8Array> {
    return this.callEngine(worker, 'exportCache', (engine) => engine.streamCache.export(requestId));
  }

  async importCache(worker: WorkerAddress, requestId: string, cache: Uint8Array): Reply<void> {
    return this.callEngine(worker, 'importCache', (engine) =>
      engine.streamCache.import(requestId, cache),
    );
  }

  private async callEngine<T>(
    worker: WorkerAddress,
    step: string,
    run: (engine: ModelEngine) => Result<T, Fault>,
  ): Reply<T> {
    const engine = this.workerLookup.findEngine(worker.id);
    if (engine === undefined) return err(this.createUnavailableFault(worker, step));
    const link = this.createLink(worker, engine.faults, this.getCallTimeoutMs());
    return link.call(
      step,
      () =>
        new Promise((resolve) => {
          engine.deferWhilePaused(() => resolve(run(engine)));
        }),
    );
  }

  private getCallTimeoutMs(): number {
    return this.workerLookup.options.callTimeoutMs ?? CALL_TIMEOUT_MS;
  }

  private createLink(worker: WorkerAddress, faults: LinkFaults, timeoutMs: number): Link {
    const { timer, random } = this.workerLookup.options;
    const path = [faults, this.faults, this.getFaultsTo(worker.id)];
    return new Link({ timer, random, peer: worker.id, faults: path, timeoutMs });
  }

  private createUnavailableFault(worker: WorkerAddress, step: string): Fault {
    return {
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step,
      peer: worker.id,
      message: `${this.name}: nothing is listening at ${worker.address}`,
    };
  }
}
