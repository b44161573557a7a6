/** HTTP server for callers and operators. */
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';
import { serve, type HttpBindings } from '@hono/node-server';
import { getErrorMessage, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import { formatAddress, parseAddress } from '@jujubelanding/settings';
import { err, ok } from 'neverthrow';

type FetchHandler = (request: Request, bindings: HttpBindings) => Response | Promise<Response>;

/** Interval at which idle connections are closed while the server stops. */
const IDLE_CLOSE_INTERVAL_MS = 200;

export class CallerServer {
  private server: Server | undefined;

  private fetch: FetchHandler = () => new Response(null, { status: 503 });

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
          fetch: (request, bindings) => this.fetch(request, bindings as HttpBindings),
          hostname: requested.host,
          port: requested.port,
          overrideGlobalObjects: false,
        },
        (info: AddressInfo) =>
          resolve(ok(formatAddress({ host: requested.host, port: info.port }))),
      ) as Server;
      this.server = server;
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

  /** Stops accepting connections and resolves when the responses in progress have ended. */
  close(): Promise<void> {
    const { server } = this;
    if (server === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      // Keep-alive connections become idle only when their last response has ended.
      const idleCloseInterval = setInterval(
        () => server.closeIdleConnections(),
        IDLE_CLOSE_INTERVAL_MS,
      );
      server.close(() => {
        clearInterval(idleCloseInterval);
        resolve();
      });
      server.closeIdleConnections();
    });
  }
}
