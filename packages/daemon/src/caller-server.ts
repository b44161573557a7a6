/** HTTP server for callers and operators. */
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import type { Server } from 'node:http';
import { serve, type HttpBindings } from '@hono/node-server';
import type { CallerBindings } from '@jujubelanding/caller-api';
import { getErrorMessage, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import {
  BodyReader,
  CallerConnections,
  CallerRefusals,
  computeCallerBounds,
  createAccountedResponse,
  DEFAULT_UNREAD_TIMEOUT_MS,
  MemoryBudget,
  MemoryPurpose,
  RefusalReason,
  type CallerSettings,
} from '@jujubelanding/memory-budget';
import type { Metrics } from '@jujubelanding/metrics';
import { formatAddress, parseAddress } from '@jujubelanding/settings';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';

type FetchHandler = (request: Request, bindings: CallerBindings) => Response | Promise<Response>;

/** Time for a first request that is on its way when the server stops. */
const UNUSED_CLOSE_MS = 1000;

/** Time for the head of a request once a part of it has arrived. */
const HEAD_TIMEOUT_MS = 10_000;

/**
 * Memory of a request as a multiple of its body: the response to it is buffered in parts and then joined.
 * With 1, callers that let a service answer with large bodies took 148 MB and more.
 */
const REQUEST_MEMORY_FACTOR = 3;

export interface CallerServerOptions {
  timer: Timer;
  log: Log;
  metrics: Metrics;
  settings: CallerSettings;
}

/** Creates the bounds on what callers take of the process. */
const createBounds = ({ timer, log, metrics, settings }: CallerServerOptions) => {
  const bounds = computeCallerBounds(settings);
  const budget = new MemoryBudget({ timer, maxBytes: bounds.memoryBytes });
  const refusals = new CallerRefusals({ timer, log, metrics });
  const connections = new CallerConnections({
    timer,
    refusals,
    maxConnections: bounds.connections,
    headTimeoutMs: () => HEAD_TIMEOUT_MS,
    unreadTimeoutMs: settings.unreadTimeoutMs ?? DEFAULT_UNREAD_TIMEOUT_MS,
    dropSlowest: () => budget.dropSlowest(),
  });
  const ServerResponse = createAccountedResponse((drop) =>
    budget.open(MemoryPurpose.Unread, () => {
      refusals.record(RefusalReason.UnreadDropped, { usedBytes: budget.usedBytes });
      drop();
    }),
  );
  const bodies = new BodyReader({ timer, budget, refusals, keptFactor: REQUEST_MEMORY_FACTOR });
  return { connections, bodies, ServerResponse };
};

export class CallerServer {
  private server: Server | undefined;

  private fetch: FetchHandler = () => new Response(null, { status: 503 });

  private isRetiring = false;

  private readonly sockets = new Set<Socket>();

  private readonly bounds: ReturnType<typeof createBounds>;

  constructor(options: CallerServerOptions) {
    this.bounds = createBounds(options);
  }

  /** Sets the application; until then requests get status 503. */
  setApplication(fetch: FetchHandler): void {
    this.fetch = fetch;
  }

  /** Starts listening and returns the bound host:port; port 0 selects a free port. */
  open(address: string): Reply<string> {
    const requested = parseAddress(address).unwrapOr({ host: '127.0.0.1', port: 0 });
    return new Promise((resolve) => {
      const server = serve(
        {
          fetch: (request, bindings) => this.answer(request, bindings as HttpBindings),
          hostname: requested.host,
          port: requested.port,
          overrideGlobalObjects: false,
          serverOptions: { ServerResponse: this.bounds.ServerResponse },
        },
        (info: AddressInfo) =>
          resolve(ok(formatAddress({ host: requested.host, port: info.port }))),
      ) as Server;
      this.server = server;
      server.on('connection', (socket) => this.trackConnection(socket));
      server.once('error', (thrown) =>
        resolve(
          err({
            code: FaultCode.Unavailable,
            outcome: Outcome.NotRun,
            step: 'listen',
            peer: address,
            message: getErrorMessage(thrown),
          }),
        ),
      );
    });
  }

  /** Lets each connection end with its next answer, which says so; callers then open new ones. */
  retireConnections(): void {
    this.isRetiring = true;
  }

  /** Stops accepting connections and resolves when all have ended. */
  close(): Promise<void> {
    const { server } = this;
    if (server === undefined) return Promise.resolve();
    this.retireConnections();
    // Node would wait a minute for the first request of a connection.
    setTimeout(() => this.closeUnused(), UNUSED_CLOSE_MS);
    return new Promise((resolve) => {
      // The method of HTTP servers also closes idle connections at once. Callers were told that these stay
      // open for the keep-alive time, and a request that is on its way on one would get no answer.
      NetServer.prototype.close.call(server, () => resolve());
    });
  }

  private trackConnection(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    this.bounds.connections.add(socket);
  }

  private closeUnused(): void {
    [...this.sockets]
      .filter(({ bytesRead }) => bytesRead === 0)
      .forEach((socket) => socket.destroySoon());
  }

  private answer(request: Request, bindings: HttpBindings): Response | Promise<Response> {
    const turn = this.bounds.connections.beginRequest(bindings.incoming.socket, bindings.incoming);
    if (typeof turn === 'boolean') return this.answerInTurn(request, bindings, turn);
    return turn.then((mayBegin) => this.answerInTurn(request, bindings, mayBegin));
  }

  private answerInTurn(
    request: Request,
    { incoming, outgoing }: HttpBindings,
    mayBegin: boolean,
  ): Response | Promise<Response> {
    // The connection has ended, so nobody receives this response.
    if (!mayBegin) return new Response(null, { status: 503 });
    const { bodies, connections } = this.bounds;
    const { socket } = incoming;
    outgoing.once('close', () => connections.endRequest(socket));
    if (this.isRetiring) outgoing.shouldKeepAlive = false;
    return this.fetch(request, { incoming, outgoing, bodies });
  }
}
