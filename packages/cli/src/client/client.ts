/** Requests to the first entry VM that takes them. */
import { type Fault, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { createTransportFault } from './faults.js';
import type { HttpResponse, HttpRequest, Transport } from './transport.js';

/** What may be done after a reply was lost. */
export enum Repetition {
  /** The request changes nothing, so only its last answer counts. */
  ReadOnly = 'read',
  /** The request carries an id under which it takes effect once. */
  Idempotent = 'once',
  /** Each repetition might take effect again. */
  Never = 'never',
}

export interface ClientRequest {
  method: HttpRequest['method'];
  path: string;
  repetition: Repetition;
  headers?: Record<string, string>;
  createBody?: HttpRequest['createBody'];
  timeoutMs?: number;
}

export interface ClientOptions {
  /** Caller addresses of entry VMs, in the order in which they are tried. */
  entryVms: readonly string[];
  /** Sent with each request. */
  authorization?: string;
  /** Time for all requests and waits together. */
  timeoutMs?: number;
  timer: Timer;
  /** Source of write ids. */
  random: Random;
  transport: Transport;
}

const REQUEST_TIMEOUT_MS = 30_000;
// The pauses add up to 12.7 s, longer than the 6 s in which another entry VM takes over a shard.
const MAX_RETRIES = 7;
const INITIAL_RETRY_DELAY_MS = 100;

// Another entry VM would refuse these as well. A rate limit is shared by all.
const NON_RETRYABLE_CODES = new Set([
  FaultCode.InvalidInput,
  FaultCode.Unauthorized,
  FaultCode.NotFound,
  FaultCode.Conflict,
  FaultCode.KeyReused,
  FaultCode.AlreadyClaimed,
  FaultCode.RateLimited,
  FaultCode.TooLarge,
]);

/** Tells whether the same request may be answered otherwise later. */
export const isTransient = ({ code, outcome }: Fault): boolean =>
  code === FaultCode.RateLimited || (outcome !== Outcome.Failed && !NON_RETRYABLE_CODES.has(code));

const createInvalidResponseFault = (peer: string, message: string): Fault => ({
  code: FaultCode.InvalidStream,
  outcome: Outcome.OutcomeUnknown,
  step: 'answer',
  peer,
  message: `the answer has an unexpected shape: ${message}`,
});

// These refusals would have met an earlier attempt as well. Others say nothing about it: a conflict,
// for example, may come from a change that followed the attempt.
const CONCLUSIVE_CODES = new Set([
  FaultCode.InvalidInput,
  FaultCode.Unauthorized,
  FaultCode.KeyReused,
  FaultCode.TooLarge,
]);

const mergeFaults = (
  { repetition }: ClientRequest,
  earlierFault: Fault | undefined,
  lastFault: Fault,
): Fault => {
  if (
    earlierFault === undefined ||
    earlierFault === lastFault ||
    CONCLUSIVE_CODES.has(lastFault.code)
  )
    return lastFault;
  if (repetition === Repetition.ReadOnly) return lastFault;
  return {
    ...lastFault,
    outcome: Outcome.OutcomeUnknown,
    message: `${lastFault.message}; an earlier attempt ended with: ${earlierFault.message}`,
  };
};

/** Sends requests on behalf of one command. */
export class Client {
  readonly timer: Timer;

  /** Monotonic time at which the command's time is over. */
  readonly deadline: number;

  /** Index of the entry VM that took the last request. */
  #current = 0;

  constructor(private readonly options: ClientOptions) {
    this.timer = options.timer;
    this.deadline = this.timer.now() + (options.timeoutMs ?? Infinity);
  }

  /** Creates an id under which a request takes effect once. */
  createId(): string {
    return this.options.random.createId();
  }

  isDeadlineExceeded(): boolean {
    return this.timer.now() >= this.deadline;
  }

  /** Waits, at most until the command's time is over. */
  async sleep(delayMs: number): Promise<void> {
    await this.timer.sleep(Math.max(0, Math.min(delayMs, this.deadline - this.timer.now())));
  }

  /** Sends a request and checks the JSON answer, which must arrive within the request's time. */
  async send<T>(request: ClientRequest, schema: z.ZodType<T>): Reply<T> {
    const totalTimeoutMs = request.timeoutMs ?? REQUEST_TIMEOUT_MS;
    return this.#attempt(request, totalTimeoutMs, async (answer) => {
      const text = await answer.body.text();
      const parsed = schema.safeParse(JSON.parse(text));
      if (parsed.success) return ok(parsed.data);
      return err(createInvalidResponseFault(answer.peer, parsed.error.issues[0]?.message ?? ''));
    });
  }

  /** Sends a request and returns the answer as soon as its head has arrived. */
  async open(request: ClientRequest): Reply<HttpResponse> {
    return this.#attempt(request, Infinity, (answer) => Promise.resolve(ok(answer)));
  }

  async #attempt<T>(
    request: ClientRequest,
    totalTimeoutMs: number,
    read: (answer: HttpResponse) => Reply<T>,
  ): Reply<T> {
    let lost: Fault | undefined;
    let refusals = 0;
    let repetitions = 0;
    for (;;) {
      const result = await this.#exchange(request, totalTimeoutMs, read);
      if (result.isOk()) return result;
      const fault = result.error;
      if (fault.outcome === Outcome.NotRun && !NON_RETRYABLE_CODES.has(fault.code)) {
        refusals += 1;
        this.#current = (this.#current + 1) % this.options.entryVms.length;
        if (refusals < this.options.entryVms.length) continue;
        if (lost === undefined) return result;
      } else if (fault.outcome === Outcome.OutcomeUnknown) {
        lost = fault;
        if (request.repetition === Repetition.Never) return result;
      } else {
        return err(mergeFaults(request, lost, fault));
      }
      if (repetitions >= MAX_RETRIES || this.isDeadlineExceeded()) {
        return err(mergeFaults(request, lost, fault));
      }
      refusals = 0;
      await this.sleep(INITIAL_RETRY_DELAY_MS * 2 ** repetitions);
      repetitions += 1;
    }
  }

  async #exchange<T>(
    request: ClientRequest,
    totalTimeoutMs: number,
    read: (answer: HttpResponse) => Reply<T>,
  ): Promise<Result<T, Fault>> {
    const { authorization, entryVms, transport } = this.options;
    const address = entryVms[this.#current]!;
    const leftMs = this.deadline - this.timer.now();
    const answer = await transport.exchange(address, {
      method: request.method,
      path: request.path,
      headers: { ...(authorization === undefined ? {} : { authorization }), ...request.headers },
      ...(request.createBody === undefined ? {} : { createBody: request.createBody }),
      headersTimeoutMs: Math.min(request.timeoutMs ?? REQUEST_TIMEOUT_MS, leftMs),
      totalTimeoutMs: Math.min(totalTimeoutMs, leftMs),
    });
    if (answer.isErr()) return err(answer.error);
    try {
      return await read(answer.value);
    } catch (thrown) {
      return err(createTransportFault(thrown, address));
    }
  }
}
