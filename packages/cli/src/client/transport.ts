/** HTTP transport to the entry VMs. */
import type { Readable } from 'node:stream';
import type { Reply } from '@jujubelanding/errors';
import { createAgent } from '@jujubelanding/http-connections';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { request } from 'undici';
import { createTimeoutFault, createTransportFault, toFault } from './faults.js';

export interface HttpRequest {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path and query string. */
  path: string;
  headers: Record<string, string>;
  /** Creates the body of each attempt, because a stream can be read only once. */
  createBody?: () => Readable | string;
  /** Limit for the arrival of the response headers. */
  headersTimeoutMs: number;
  /** Limit for the body, counted from the arrival of the headers; may be infinite. */
  bodyTimeoutMs: number;
}

export interface HttpResponse {
  status: number;
  /** Address of the entry VM that responded. */
  peer: string;
  body: Readable & { text(): Promise<string> };
}

export interface Transport {
  /** Resolves when the headers of a successful response have arrived. */
  send(address: string, request: HttpRequest): Reply<HttpResponse>;
  close(): Promise<void>;
}

// An entry VM that is down may not refuse connections. Waiting longer for one would use up the time
// limit of the command.
const CONNECT_TIMEOUT_MS = 3000;

const destroyBodyAfter = (timer: Timer, body: Readable, timeoutMs: number): void => {
  const timeout = timer.after(timeoutMs, () =>
    body.destroy(new Error('the response did not end in time')),
  );
  body.once('close', () => timeout.cancel());
};

/** Creates a transport that uses undici. */
export const createTransport = (timer: Timer): Transport => {
  const agent = createAgent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  const send: Transport['send'] = async (address, { createBody, ...options }) => {
    const controller = new AbortController();
    const timeout = timer.after(options.headersTimeoutMs, () => controller.abort());
    try {
      const { statusCode, body } = await request(`http://${address}${options.path}`, {
        method: options.method,
        headers: options.headers,
        body: createBody?.() ?? null,
        dispatcher: agent,
        signal: controller.signal,
      });
      destroyBodyAfter(timer, body, options.bodyTimeoutMs);
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
  return { send, close: () => agent.destroy() };
};
