/** HTTP server for calls and segment transfers from other entry VMs. */
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { serve, type HttpBindings } from '@hono/node-server';
import { FaultCode, getHttpStatus, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { guardListener, type ListenerGuardOptions } from '@jujubelanding/memory-budget';
import { PeerMethod } from '@jujubelanding/peer-protocol';
import type { Timer } from '@jujubelanding/timer';
import { Hono, type Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import { err, ok } from 'neverthrow';
import type { HostPort } from './address.js';
import { deriveBearerToken, isSameSecret } from './authentication.js';
import { createMissingHandlerFault, type HandlerRegistry } from './handler-registry.js';
import { createPeerRouter, createCallRunner } from './router.js';
import { DropReason, type TrafficCounters } from './traffic.js';

export const CALL_PATH = '/peer/calls';
export const SEGMENT_PATH = '/peer/segments';

/** Maximum size of a segment or call input. */
const MAX_BODY_BYTES = 128 * 1024 * 1024;

/** When the server closes, requests still in progress after this time are aborted. */
const CLOSE_TIMEOUT_MS = 5000;

export interface PeerServerOptions {
  fleetKey: string;
  handlers: HandlerRegistry;
  counters: TrafficCounters;
  timer: Timer;
  log: Log;
  guard: Pick<ListenerGuardOptions, 'maxConnections' | 'unreadTimeoutMs' | 'metrics'> | undefined;
}

interface Connection {
  /** Number of requests in progress. */
  requests: number;
  /** Bytes read and written that are already counted. */
  bytesRead: number;
  bytesWritten: number;
}

type App = Hono<{ Bindings: HttpBindings }>;

const sendFault = (context: Context, fault: Fault): Response =>
  context.json(fault, getHttpStatus(fault) as ContentfulStatusCode, { 'x-outcome': fault.outcome });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const METHOD_NAMES = new Set<string>(Object.values(PeerMethod));

/** Unknown paths share one name, so that no caller can create an unlimited number of counters. */
const getTrafficName = (path: string): string => {
  if (path.startsWith(SEGMENT_PATH)) return 'segment';
  const method = path.slice(CALL_PATH.length + 1);
  return METHOD_NAMES.has(method) ? method : 'other';
};

export class PeerServer {
  private server: Server | undefined;

  private readonly token: string;

  private readonly connections = new Map<Socket, Connection>();

  constructor(private readonly options: PeerServerOptions) {
    this.token = `Bearer ${deriveBearerToken(options.fleetKey)}`;
  }

  /** Starts listening and returns the port. */
  open({ host, port }: HostPort): Reply<number> {
    const app = this.createApp();
    return new Promise((resolve) => {
      const server = serve({ fetch: app.fetch, hostname: host, port }, (info: AddressInfo) => {
        this.server = server;
        resolve(ok(info.port));
      }) as Server;
      server.on('connection', (socket) => this.trackConnection(socket));
      const { guard, timer, log } = this.options;
      if (guard !== undefined) guardListener(server, { ...guard, timer, log, listener: 'peers' });
      server.once('error', (error) => {
        const fault = { code: FaultCode.Unavailable, outcome: Outcome.NotRun, step: 'listen' };
        resolve(err({ ...fault, peer: `${host}:${port}`, message: error.message }));
      });
    });
  }

  /** Stops accepting requests and waits for those in progress. */
  close(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (server === undefined) return Promise.resolve();
    const { timer } = this.options;
    const timeout = timer.after(CLOSE_TIMEOUT_MS, () => server.closeAllConnections());
    return new Promise((resolve) => {
      server.close(() => {
        timeout.cancel();
        resolve();
      });
      this.closeIdleConnections();
    });
  }

  /**
   * Closes connections without a request in progress, including those that never had one, which the Node
   * server would keep open.
   */
  private closeIdleConnections(): void {
    for (const [socket, { requests }] of this.connections) {
      if (requests === 0) socket.destroySoon();
    }
  }

  private createApp(): App {
    const app: App = new Hono();
    const runCall = createCallRunner(createPeerRouter(this.options.handlers));
    app.use('/peer/*', async (context, next) => {
      this.countTraffic(context.env, context.req.path);
      const refusal = this.checkRequest(context);
      return refusal === undefined ? next() : sendFault(context, refusal);
    });
    app.post(`${CALL_PATH}/:method`, async (context) => {
      const input = parseJson(await context.req.text());
      const response = await runCall(context.req.param('method'), input);
      // The result format that tRPC's HTTP link expects.
      if (response.isOk()) return context.json({ result: { data: response.value } });
      return sendFault(context, response.error);
    });
    this.addSegmentRoutes(app);
    return app;
  }

  private addSegmentRoutes(app: App): void {
    const { handlers } = this.options;
    app.put(`${SEGMENT_PATH}/:id`, async (context) => {
      if (handlers.segments === undefined) {
        return sendFault(context, createMissingHandlerFault('putSegment'));
      }
      const content = new Uint8Array(await context.req.arrayBuffer());
      const stored = await handlers.segments.put(context.req.param('id'), content);
      return stored.isOk() ? context.json({}) : sendFault(context, stored.error);
    });
    app.get(`${SEGMENT_PATH}/:id`, async (context) => {
      if (handlers.segments === undefined) {
        return sendFault(context, createMissingHandlerFault('getSegment'));
      }
      const content = await handlers.segments.get(context.req.param('id'));
      if (content.isErr()) return sendFault(context, content.error);
      context.header('content-type', 'application/octet-stream');
      return context.body(content.value as Uint8Array<ArrayBuffer>);
    });
  }

  private checkRequest(context: Context): Fault | undefined {
    const createRefusal = (code: FaultCode, step: string, message: string): Fault => ({
      code,
      outcome: Outcome.NotRun,
      step,
      message,
    });
    if (!isSameSecret(this.token, context.req.header('authorization') ?? '')) {
      this.options.counters.countDrop(DropReason.BadToken);
      return createRefusal(FaultCode.Unauthorized, 'authenticate', 'the bearer token is wrong');
    }
    const size = Number(context.req.header('content-length') ?? 0);
    if (size <= MAX_BODY_BYTES) return undefined;
    return createRefusal(FaultCode.TooLarge, 'readRequest', `${size} bytes exceed the limit`);
  }

  private trackConnection(socket: Socket): void {
    this.connections.set(socket, { requests: 0, bytesRead: 0, bytesWritten: 0 });
    socket.once('close', () => this.connections.delete(socket));
  }

  /** When the request has ended, counts the bytes of its connection since the previous request ended. */
  private countTraffic({ incoming, outgoing }: HttpBindings, path: string): void {
    const { socket } = incoming;
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    const name = getTrafficName(path);
    connection.requests += 1;
    outgoing.once('close', () => {
      const { bytesRead, bytesWritten } = socket;
      this.options.counters.countIn(name, bytesRead - connection.bytesRead);
      this.options.counters.countOut(name, bytesWritten - connection.bytesWritten);
      Object.assign(connection, { bytesRead, bytesWritten });
      connection.requests -= 1;
      if (this.server === undefined) this.closeIdleConnections();
    });
  }
}
