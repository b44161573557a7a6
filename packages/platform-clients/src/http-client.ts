/** HTTP client for JSON calls to one or more servers, with common connection limits and timeout. */
import type { Reply } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import { ok } from 'neverthrow';
import type { z } from 'zod';
import { expectSuccess, parseResponse } from './responses.js';
import { ConnectionPools, type ConnectionLimits } from './connection-pools.js';
import { sendRequest, type HttpResponse, type HttpRequest } from './http-request.js';

export type CallRequest = Omit<HttpRequest, 'body' | 'timeoutMs'> & {
  json?: unknown;
  body?: Uint8Array;
  timeoutMs?: number;
};

export class HttpClient {
  private readonly pools: ConnectionPools;

  constructor(
    private readonly timer: Timer,
    limits: ConnectionLimits,
    private readonly timeoutMs: number,
    /** Applies to all requests. */
    private readonly isLastOnConnection?: HttpRequest['isLastOnConnection'],
  ) {
    this.pools = new ConnectionPools(limits);
  }

  /** Sends a request and returns the response, whatever its status. */
  send({ json, ...request }: CallRequest): Reply<HttpResponse> {
    const { headers, body, timeoutMs = this.timeoutMs } = request;
    const { isLastOnConnection } = this;
    const common = { ...request, timeoutMs, ...(isLastOnConnection ? { isLastOnConnection } : {}) };
    if (json === undefined) return sendRequest(this.pools, this.timer, common);
    return sendRequest(this.pools, this.timer, {
      ...common,
      headers: { ...headers, 'content-type': 'application/json' },
      body: body ?? JSON.stringify(json),
    });
  }

  /** Sends a request and parses the JSON of a successful response. */
  async call<T>(request: CallRequest, schema: z.ZodType<T>): Reply<T> {
    const response = await this.send(request);
    return response
      .andThen((received) => expectSuccess(received, request))
      .andThen((received) => parseResponse(received, schema, request));
  }

  /** Sends a request and ignores the body of a successful response. */
  async callVoid(request: CallRequest): Reply<void> {
    const response = await this.send(request);
    return response
      .andThen((received) => expectSuccess(received, request))
      .andThen(() => ok<void>(undefined));
  }

  close(): Promise<void> {
    return this.pools.close();
  }
}
