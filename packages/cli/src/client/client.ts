/** HTTP client that tries the entry VMs in order and retries when that is safe. */
import { type Fault, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { createTransportFault } from './faults.js';
import type { HttpResponse, HttpRequest, Transport } from './transport.js';

/** Whether a request may be retried after its reply was lost. */
export enum Repetition {
  /** The request has no side effects, so only the response to the last attempt counts. */
  ReadOnly = 'read',
  /** The request carries an id under which the server applies it once. */
  Idempotent = 'once',
  /** The request might be applied again by each attempt. */
  Never = 'never',
}

export interface ClientRequest {
  method: HttpRequest['method'];
  path: string;
  repetition: Repetition;
  headers?: Record<string, string>;
  createBody?: HttpRequest['createBody'];
  /** Limit for the arrival of the headers, and in `send` also for the body from then on. */
  timeoutMs?: number;
}

export interface ClientOptions {
  /** Caller addresses of entry VMs, in the order in which they are tried. */
  entryVms: readonly string[];
  /** Value of the `authorization` header. */
  authorization?: string;
  /** Limit for all requests and waits of the command together. */
  timeoutMs?: number;
  timer: Timer;
  /** Generates write ids and idempotency keys. */
  random: Random;
  transport: Transport;
}

const REQUEST_TIMEOUT_MS = 30_000;
// The exponential delays add up to 12.7 s, longer than the 6 s in which another entry VM takes over
// a shard.
const MAX_RETRIES = 7;
const INITIAL_RETRY_DELAY_MS = 100;

// Every entry VM would reject these. A rate limit is shared by all entry VMs.
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

/** Returns whether the same request may succeed later. */
export const isTransient = ({ code, outcome }: Fault): boolean =>
  code === FaultCode.RateLimited || (outcome !== Outcome.Failed && !NON_RETRYABLE_CODES.has(code));

const createInvalidResponseFault = (peer: string, message: string): Fault => ({
  code: FaultCode.InvalidStream,
  outcome: Outcome.OutcomeUnknown,
  step: 'answer',
  peer,
  message: `the response does not match its schema: ${message}`,
});

// An earlier attempt would have been rejected with these codes as well. Other codes say nothing about
// it: a conflict, for example, may be caused by a change that was made after that attempt.
const CONCLUSIVE_CODES = new Set([
  FaultCode.InvalidInput,
  FaultCode.Unauthorized,
  FaultCode.KeyReused,
  FaultCode.TooLarge,
]);

/** Returns the last fault, with an unknown outcome if an earlier attempt may have been applied. */
const mergeFaults = (
  { repetition }: ClientRequest,
  earlier: Fault | undefined,
  last: Fault,
): Fault => {
  if (earlier === undefined || earlier === last || CONCLUSIVE_CODES.has(last.code)) return last;
  if (repetition === Repetition.ReadOnly) return last;
  return {
    ...last,
    outcome: Outcome.OutcomeUnknown,
    message: `${last.message}; an earlier attempt ended with: ${earlier.message}`,
  };
};

/** Sends the requests of one command, within its time limit. */
export class Client {
  readonly timer: Timer;

  /** Monotonic time at which the command times out. */
  readonly deadline: number;

  /** Index of the entry VM to which requests are sent. */
  #currentIndex = 0;

  constructor(private readonly options: ClientOptions) {
    this.timer = options.timer;
    this.deadline = this.timer.now() + (options.timeoutMs ?? Infinity);
  }

  /** Creates an id under which the server applies a request once. */
  createId(): string {
    return this.options.random.createId();
  }

  isDeadlineExceeded(): boolean {
    return this.timer.now() >= this.deadline;
  }

  /** Waits, at most until the deadline of the command. */
  async sleep(delayMs: number): Promise<void> {
    await this.timer.sleep(Math.max(0, Math.min(delayMs, this.deadline - this.timer.now())));
  }

  /** Sends a request, reads the complete response and validates its JSON. */
  async send<T>(request: ClientRequest, schema: z.ZodType<T>): Reply<T> {
    const bodyTimeoutMs = request.timeoutMs ?? REQUEST_TIMEOUT_MS;
    return this.#sendWithRetries(request, bodyTimeoutMs, async (response) => {
      const text = await response.body.text();
      const parsed = schema.safeParse(JSON.parse(text));
      if (parsed.success) return ok(parsed.data);
      return err(createInvalidResponseFault(response.peer, parsed.error.issues[0]?.message ?? ''));
    });
  }

  /** Sends a request and returns the response as soon as its headers have arrived. */
  async open(request: ClientRequest): Reply<HttpResponse> {
    return this.#sendWithRetries(request, Infinity, (response) => Promise.resolve(ok(response)));
  }

  async #sendWithRetries<T>(
    request: ClientRequest,
    bodyTimeoutMs: number,
    readResponse: (response: HttpResponse) => Reply<T>,
  ): Reply<T> {
    let inconclusiveFault: Fault | undefined;
    let refusals = 0;
    let retries = 0;
    for (;;) {
      const result = await this.#sendOnce(request, bodyTimeoutMs, readResponse);
      if (result.isOk()) return result;
      const fault = result.error;
      if (fault.outcome === Outcome.NotRun && !NON_RETRYABLE_CODES.has(fault.code)) {
        refusals += 1;
        this.#currentIndex = (this.#currentIndex + 1) % this.options.entryVms.length;
        if (refusals < this.options.entryVms.length) continue;
        // No entry VM took the request; that is conclusive unless an earlier attempt may have run.
        if (inconclusiveFault === undefined) return result;
      } else if (fault.outcome === Outcome.OutcomeUnknown) {
        inconclusiveFault = fault;
        if (request.repetition === Repetition.Never) return result;
      } else {
        return err(mergeFaults(request, inconclusiveFault, fault));
      }
      if (retries >= MAX_RETRIES || this.isDeadlineExceeded()) {
        return err(mergeFaults(request, inconclusiveFault, fault));
      }
      refusals = 0;
      await this.sleep(INITIAL_RETRY_DELAY_MS * 2 ** retries);
      retries += 1;
    }
  }

  async #sendOnce<T>(
    request: ClientRequest,
    bodyTimeoutMs: number,
    readResponse: (response: HttpResponse) => Reply<T>,
  ): Promise<Result<T, Fault>> {
    const { authorization, entryVms, transport } = this.options;
    const address = entryVms[this.#currentIndex]!;
    const remainingMs = this.deadline - this.timer.now();
    const response = await transport.send(address, {
      method: request.method,
      path: request.path,
      headers: { ...(authorization === undefined ? {} : { authorization }), ...request.headers },
      ...(request.createBody === undefined ? {} : { createBody: request.createBody }),
      headersTimeoutMs: Math.min(request.timeoutMs ?? REQUEST_TIMEOUT_MS, remainingMs),
      bodyTimeoutMs: Math.min(bodyTimeoutMs, remainingMs),
    });
    if (response.isErr()) return err(response.error);
    try {
      return await readResponse(response.value);
    } catch (thrown) {
      return err(createTransportFault(thrown, address));
    }
  }
}
