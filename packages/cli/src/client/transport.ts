/** One HTTP exchange with one entry VM. */
import type { Readable } from 'node:stream';
import type { Reply } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { Agent, request } from 'undici';
import { createTimeoutFault, createTransportFault, toFault } from './faults.js';

export interface HttpRequest {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path with query. */
  path: string;
  headers: Record<string, string>;
  /** Called for each attempt, because a stream can be read only once. */
  createBody?: () => Readable | string;
  /** Time until the head of the answer. */
  headersTimeoutMs: number;
  /** Time until the end of the answer; may be infinite. */
  totalTimeoutMs: number;
}

export interface HttpResponse {
  status: number;
  /** The entry VM that answered. */
  peer: string;
  body: Readable & { text(): Promise<string> };
}

export interface Transport {
  /** Resolves when the head of a successful answer has arrived. */
  exchange(address: string, exchange: HttpRequest): Reply<HttpResponse>;
  close(): Promise<void>;
}

// An entry VM that is down and does not refuse connections must not use up the command's time.
const CONNECT_TIMEOUT_MS = 3000;

// Node fires a longer timeout at once.
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;

const destroyBodyAfter = (timer: Timer, body: Readable, timeoutMs: number): void => {
  if (timeoutMs > MAX_TIMER_DELAY_MS) return;
  const timeout = timer.after(timeoutMs, () => body.destroy(new Error('no end of answer in time')));
  body.once('close', () => timeout.cancel());
};

/** Creates a transport over undici. */
export const createTransport = (timer: Timer): Transport => {
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  const exchange: Transport['exchange'] = async (address, { createBody, ...rest }) => {
    const controller = new AbortController();
    const timeout = timer.after(rest.headersTimeoutMs, () => controller.abort());
    try {
      const { statusCode, body } = await request(`http://${address}${rest.path}`, {
        method: rest.method,
        headers: rest.headers,
        body: createBody?.() ?? null,
        dispatcher: agent,
        signal: controller.signal,
      });
      destroyBodyAfter(timer, body, rest.totalTimeoutMs);
      if (statusCode < 300) return ok({ status: statusCode, peer: address, body });
      return err(toFault(statusCode, await body.text(), address));
    } catch (thrown) {
      return err(
        controller.signal.aborted
          ? createTimeoutFault(address)
          : createTransportFault(thrown, address),
      );
    } finally {
      timeout.cancel();
    }
  };
  return { exchange, close: () => agent.destroy() };
};
