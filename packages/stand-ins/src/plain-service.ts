/** Emulates a plain service and counts the executions of each request. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import type { ServiceRequest, ServiceResponse } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { Counters } from './counters.js';
import { createLinkFaults, drawLatency, type Latency } from './link.js';

export interface PlainServiceOptions {
  timer: Timer;
  random: Random;
  workerId: string;
  latency?: Latency;
}

export interface PlainServiceFaults {
  /** Probability that a request is refused with the outcome not-run. */
  refusalChance: number;
  /** Probability of status 500 after the request ran. */
  failureChance: number;
  /** Probability of a response whose id is not that of its request. */
  wrongIdChance: number;
}

export class PlainService {
  readonly faults = createLinkFaults();

  readonly responseFaults: PlainServiceFaults = {
    refusalChance: 0,
    failureChance: 0,
    wrongIdChance: 0,
  };

  readonly counters = new Counters();

  /** Executions by request id. */
  readonly executions = new Map<string, number>();

  latency: Latency;

  constructor(private readonly options: PlainServiceOptions) {
    this.latency = options.latency ?? { floorMs: 5, meanExtraMs: 0 };
  }

  async run(request: ServiceRequest): Reply<ServiceResponse> {
    const { timer, random } = this.options;
    this.counters.add('call');
    if (random.next() < this.responseFaults.refusalChance) return err(this.createRefusal());
    const { requestId } = request;
    this.executions.set(requestId, (this.executions.get(requestId) ?? 0) + 1);
    this.counters.add('execution');
    await timer.sleep(drawLatency(random, this.latency));
    const failed = random.next() < this.responseFaults.failureChance;
    const wrongId = random.next() < this.responseFaults.wrongIdChance;
    return ok({
      requestId: wrongId ? random.createId() : requestId,
      status: failed ? 500 : 200,
      headers: { 'content-type': 'application/json' },
      body: failed ? this.createFailureBody() : this.createBody(request),
    });
  }

  private createBody({ requestId, method, path, body }: ServiceRequest): Uint8Array {
    const echo = Buffer.from(body).toString('utf8');
    return Buffer.from(JSON.stringify({ requestId, method, path, echo }));
  }

  private createFailureBody(): Uint8Array {
    return Buffer.from(JSON.stringify({ error: 'injected failure' }));
  }

  private createRefusal(): Fault {
    this.counters.add('refusal');
    return {
      code: FaultCode.Overloaded,
      outcome: Outcome.NotRun,
      step: 'call',
      peer: this.options.workerId,
      message: 'the service refused the request before running it',
    };
  }
}
