/** HTTP client for model engines and plain services. */
import { Outcome } from '@jujubelanding/errors';
import type { BackendServers, WorkerAddress } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { CacheEventKind, WorkerRole } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import type { Dispatcher } from 'undici';
import * as z from 'zod';
import { expectSuccess, OUTCOME_HEADER, toFault } from './responses.js';
import { TimeoutKind, type HttpResponse } from './http-request.js';
import { HttpClient } from './http-client.js';
import type { Closable } from './key-value-client.js';
import { selectForwardedHeaders } from './forwarded-headers.js';
import { TokenStream } from './token-stream.js';

export interface BackendServersClientOptions {
  timer: Timer;
  /** Timeout of calls other than generations and plain service calls. */
  callTimeoutMs?: number;
  /** Idle timeout of generations and plain service calls; callers set shorter deadlines. */
  idleTimeoutMs?: number;
  /** Maximum requests in progress per worker; further requests fail as not-run. */
  requestConnections?: number;
}

const DEFAULT_CALL_TIMEOUT_MS = 2000;

const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

const CONNECT_TIMEOUT_MS = 1000;

const DEFAULT_REQUEST_CONNECTIONS = 256;

/** Control calls use separate connections, so that streams cannot delay a cancellation. */
const CONTROL_CONNECTIONS = 16;

const loadSchema = z.object({
  workerId: z.string(),
  ageMs: z.number(),
  slots: z.number(),
  running: z.number(),
  waiting: z.number(),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  versions: z.record(z.string(), z.string()).optional(),
  role: z.enum(WorkerRole),
  streams: z.array(z.string()),
  cacheEvents: z.array(
    z.object({ sequence: z.number(), kind: z.enum(CacheEventKind), prefixHash: z.string() }),
  ),
});

const FIRST_ERROR = 400;

const isRefusal = ({ headers }: Pick<HttpResponse, 'headers'>): boolean =>
  headers[OUTCOME_HEADER] === Outcome.NotRun;

/** Unsuccessful responses name no request, so a copy of one could be taken for the next response. */
const isUnsuccessful = (response: Pick<HttpResponse, 'status' | 'headers'>): boolean =>
  response.status >= FIRST_ERROR || isRefusal(response);

const createTarget = (step: string, { id, address }: WorkerAddress) => ({
  step,
  peer: id,
  address,
});

const createPath = (collection: string, id: string): string =>
  `/v1/${collection}/${encodeURIComponent(id)}`;

/** Creates the calls that serve callers' requests: generations and plain service calls. */
const createRequestCalls = (http: HttpClient): Pick<BackendServers, 'generate' | 'call'> => ({
  generate: async (worker, generation, onToken, signal) => {
    const tokens = new TokenStream(worker.id, onToken, signal);
    const target = createTarget('generate', worker);
    const reply = await http.send({
      ...target,
      method: 'POST',
      path: '/v1/generations',
      json: generation,
      timeoutKind: TimeoutKind.Idle,
      signal,
      onChunk: (chunk) => tokens.feed(chunk),
    });
    // An end or fault event takes precedence over the way the connection ended.
    const end = tokens.getEnd();
    if (end !== undefined) return end;
    return reply.andThen((value) => expectSuccess(value, target)).andThen(() => tokens.finish());
  },
  call: async (worker, request, signal) => {
    const target = createTarget('call', worker);
    const reply = await http.send({
      ...target,
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: { ...selectForwardedHeaders(request.headers), 'x-request-id': request.requestId },
      body: request.body.length > 0 ? request.body : undefined,
      timeoutKind: TimeoutKind.Idle,
      signal,
    });
    return reply.andThen((response) => {
      const headers = selectForwardedHeaders(response.headers);
      // If a service does not return the id, the response is matched by its connection alone.
      const requestId = headers['x-request-id'] ?? request.requestId;
      const belongs = requestId === request.requestId;
      if (belongs && isRefusal(response)) return err(toFault(response, target));
      return ok({ requestId, status: response.status, headers, body: response.body });
    });
  },
});

type ControlCalls = Omit<BackendServers, 'generate' | 'call'>;

const createControlCalls = (http: HttpClient): ControlCalls => ({
  cancel: (worker, requestId) =>
    http.callVoid({
      ...createTarget('cancel', worker),
      method: 'DELETE',
      path: createPath('generations', requestId),
    }),
  readLoad: (worker, afterSequence) => {
    const path = `/v1/load?afterSequence=${afterSequence}`;
    return http.call({ ...createTarget('readLoad', worker), method: 'GET', path }, loadSchema);
  },
  sendOrder: (worker, order) =>
    http.callVoid({
      ...createTarget('sendOrder', worker),
      method: 'POST',
      path: '/v1/orders',
      json: order,
    }),
  exportCache: async (worker, requestId) => {
    const target = createTarget('exportCache', worker);
    const path = createPath('caches', requestId);
    const reply = await http.send({ ...target, method: 'GET', path });
    return reply.andThen((response) => expectSuccess(response, target)).map(({ body }) => body);
  },
  importCache: (worker, requestId, cache) =>
    http.callVoid({
      ...createTarget('importCache', worker),
      method: 'PUT',
      path: createPath('caches', requestId),
      headers: { 'content-type': 'application/octet-stream' },
      body: cache,
    }),
});

/** Creates a client for all backend servers. */
export const createBackendServersClient = (
  options: BackendServersClientOptions,
): Closable<BackendServers> => {
  const {
    timer,
    callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS,
    idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS,
  } = options;
  const { requestConnections = DEFAULT_REQUEST_CONNECTIONS } = options;
  const connectTimeoutMs = CONNECT_TIMEOUT_MS;
  const requests = new HttpClient(
    timer,
    { connections: requestConnections, connectTimeoutMs },
    idleTimeoutMs,
    isUnsuccessful,
  );
  const controls = new HttpClient(
    timer,
    { connections: CONTROL_CONNECTIONS, connectTimeoutMs },
    callTimeoutMs,
    isUnsuccessful,
  );
  return {
    ...createRequestCalls(requests),
    ...createControlCalls(controls),
    close: async () => {
      await Promise.all([requests.close(), controls.close()]);
    },
  };
};
