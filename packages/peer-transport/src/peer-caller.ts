/** Sends calls and segment transfers to other entry VMs. */
import { getErrorMessage, FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { PeerCalls, PeerMethod } from '@jujubelanding/peer-protocol';
import {
  ConnectionPools,
  sendRequest,
  expectSuccess,
  type HttpResponse,
  type HttpRequest,
} from '@jujubelanding/platform-clients';
import type { Timer } from '@jujubelanding/timer';
import type { PeerAddress } from '@jujubelanding/types';
import { createTRPCClient, httpLink, TRPCClientError } from '@trpc/client';
import { err, ok } from 'neverthrow';
import { deriveBearerToken } from './authentication.js';
import { FaultError } from './fault-error.js';
import { CALL_PATH, SEGMENT_PATH } from './peer-server.js';
import type { CallResponse, PeerRouter } from './router.js';
import type { TrafficCounters } from './traffic.js';

export interface PeerCallerOptions {
  fleetKey: string;
  counters: TrafficCounters;
  timer: Timer;
}

/** Timeout for the transfer of one segment. */
const SEGMENT_TIMEOUT_MS = 30_000;

/** Longer than the default call timeout, so that calls in progress can end. */
const CLOSE_TIMEOUT_MS = 2000;

/** Maximum number of cached tRPC clients; the cache is cleared when it is full. */
const MAX_CLIENTS = 4096;

const CONNECTION_LIMITS = { connections: 32, connectTimeoutMs: 1000 };

/** Passes the timeout of a call to the fetch function of its tRPC client; not sent over the network. */
const TIMEOUT_HEADER = 'x-timeout-ms';

const HEADER_OVERHEAD_BYTES = ': \r\n'.length;

const measureHeaders = (headers: HttpResponse['headers']): number =>
  Object.entries(headers).reduce(
    (sum, [name, value]) => sum + name.length + String(value).length + HEADER_OVERHEAD_BYTES,
    0,
  );

type PeerClient = ReturnType<typeof createTRPCClient<PeerRouter>>;

export class PeerCaller {
  private readonly pools = new ConnectionPools(CONNECTION_LIMITS);

  private readonly clients = new Map<string, PeerClient>();

  private readonly authorization: string;

  constructor(private readonly options: PeerCallerOptions) {
    this.authorization = `Bearer ${deriveBearerToken(options.fleetKey)}`;
  }

  async call<M extends PeerMethod>(
    peer: PeerAddress,
    method: M,
    input: PeerCalls[M]['input'],
    timeoutMs: number,
  ): Reply<PeerCalls[M]['output']> {
    try {
      const client = this.getOrCreateClient(peer);
      const procedure = client[method] as {
        mutate: (input: unknown, options: { context: object }) => Promise<CallResponse>;
      };
      const response = await procedure.mutate(input, { context: { timeoutMs } });
      if ('fault' in response) return err({ ...response.fault, peer: peer.entryVmId });
      return ok(response.value as PeerCalls[M]['output']);
    } catch (thrown) {
      return err(this.toFault(peer, method, thrown));
    }
  }

  async putSegment(peer: PeerAddress, segmentId: string, content: Uint8Array): Reply<void> {
    const response = await this.transferSegment(peer, 'putSegment', 'PUT', segmentId, content);
    return response.map(() => undefined);
  }

  async getSegment(peer: PeerAddress, segmentId: string): Reply<Uint8Array> {
    const response = await this.transferSegment(peer, 'getSegment', 'GET', segmentId);
    return response.map(({ body }) => new Uint8Array(body));
  }

  /** Waits for calls in progress, up to a timeout, and then closes all connections. */
  async close(): Promise<void> {
    const timeout = new Promise<void>((resolve) => {
      this.options.timer.after(CLOSE_TIMEOUT_MS, resolve);
    });
    await Promise.race([this.pools.drain(), timeout]);
    await this.pools.close();
  }

  private async transferSegment(
    peer: PeerAddress,
    step: string,
    method: 'PUT' | 'GET',
    segmentId: string,
    body?: Uint8Array,
  ): Reply<HttpResponse> {
    const target = { step, peer: peer.entryVmId };
    const response = await this.send('segment', {
      ...target,
      address: peer.peerAddress,
      method,
      path: `${SEGMENT_PATH}/${encodeURIComponent(segmentId)}`,
      headers: {
        authorization: this.authorization,
        'content-type': 'application/octet-stream',
      },
      body,
      timeoutMs: SEGMENT_TIMEOUT_MS,
    });
    return response.andThen((received) => expectSuccess(received, target));
  }

  private getOrCreateClient(peer: PeerAddress): PeerClient {
    const key = `${peer.entryVmId}@${peer.peerAddress}`;
    const cached = this.clients.get(key);
    if (cached !== undefined) return cached;
    const client = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `http://${peer.peerAddress}${CALL_PATH}`,
          headers: ({ op }) => ({ [TIMEOUT_HEADER]: String(op.context.timeoutMs) }),
          fetch: (url, init) => this.fetch(peer, url, init),
        }),
      ],
    });
    if (this.clients.size >= MAX_CLIENTS) this.clients.clear();
    this.clients.set(key, client);
    return client;
  }

  /** Sends a tRPC request over the pooled connections and preserves the outcome of a fault. */
  private async fetch(
    peer: PeerAddress,
    url: URL | string | object,
    init?: { body?: unknown; headers?: unknown },
  ): Promise<{ ok: boolean; json: () => Promise<unknown> }> {
    const { pathname } = new URL(String(url));
    const method = pathname.slice(CALL_PATH.length + 1);
    const { [TIMEOUT_HEADER]: timeout, ...headers } = init?.headers as Record<string, string>;
    const response = await this.send(method, {
      step: method,
      peer: peer.entryVmId,
      address: peer.peerAddress,
      method: 'POST',
      path: pathname,
      headers: { ...headers, authorization: this.authorization },
      body: String(init?.body ?? ''),
      timeoutMs: Number(timeout),
    });
    if (response.isErr()) throw new FaultError(response.error);
    const received = expectSuccess(response.value, { step: method, peer: peer.entryVmId });
    if (received.isErr()) throw new FaultError(received.error);
    const { body } = received.value;
    return { ok: true, json: async () => JSON.parse(body.toString('utf8')) as unknown };
  }

  private async send(name: string, request: HttpRequest): Reply<HttpResponse> {
    const { counters, timer } = this.options;
    const response = await sendRequest(this.pools, timer, request);
    // undici adds the headers host, connection and content-length, and the request line.
    const addedBytes = 71 + request.path.length + request.address.length;
    const bodyBytes = Buffer.byteLength(request.body ?? '');
    counters.countOut(name, addedBytes + measureHeaders(request.headers ?? {}) + bodyBytes);
    response.map(({ headers, body }) =>
      counters.countIn(
        name,
        'HTTP/1.1 200 OK\r\n\r\n'.length + measureHeaders(headers) + body.length,
      ),
    );
    return response;
  }

  private toFault(peer: PeerAddress, step: string, thrown: unknown): Fault {
    const cause = thrown instanceof TRPCClientError ? thrown.cause : thrown;
    if (cause instanceof FaultError) return cause.fault;
    return {
      code: FaultCode.Internal,
      outcome: Outcome.OutcomeUnknown,
      step,
      peer: peer.entryVmId,
      message: getErrorMessage(thrown),
    };
  }
}
