/** HTTP server for callers and operators. */
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import type { Server } from 'node:http';
import { serve, type HttpBindings } from '@hono/node-server';
import { getErrorMessage, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import { formatAddress, parseAddress } from '@jujubelanding/settings';
import { err, ok } from 'neverthrow';

type FetchHandler = (request: Request, bindings: HttpBindings) => Response | Promise<Response>;

/** Time for a first request that is on its way when the server stops. */
const UNUSED_CLOSE_MS = 1000;

export class CallerServer {
  private server: Server | undefined;

  private fetch: FetchHandler = () => new Response(null, { status: 503 });

  private isRetiring = false;

  private readonly connections = new Set<Socket>();

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
    this.connections.add(socket);
    socket.once('close', () => this.connections.delete(socket));
  }

  private closeUnused(): void {
    [...this.connections]
      .filter(({ bytesRead }) => bytesRead === 0)
      .forEach((socket) => socket.destroySoon());
  }

  private answer(request: Request, bindings: HttpBindings): Response | Promise<Response> {
    if (this.isRetiring) bindings.outgoing.shouldKeepAlive = false;
    return this.fetch(request, bindings);
  }
}
