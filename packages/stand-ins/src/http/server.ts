/** Serves an emulator over HTTP and injects faults into its connections. */
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';
import { serve, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { getHttpStatus, type Fault } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { Hono, type Context, type MiddlewareHandler } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { Result } from 'neverthrow';
import type { Counters } from '../counters.js';
import { drawLatency, Reachability, type LinkFaults } from '../link.js';

export interface Bindings {
  Bindings: HttpBindings;
}

export type App = Hono<Bindings>;

/** A listening HTTP server. */
export interface Listener {
  /** host:port */
  address: string;
  close(): Promise<void>;
}

export interface FaultInjectionOptions {
  timer: Timer;
  random: Random;
  faults: LinkFaults;
  /** Counts requests that are held without a response. */
  counters?: Counters;
}

/** Responds with a fault and its outcome in the header x-outcome. */
export const sendFault = (context: Context, fault: Fault): Response =>
  context.json(fault, getHttpStatus(fault) as ContentfulStatusCode, { 'x-outcome': fault.outcome });

/** Responds with the value of a result, or with its fault. */
export const sendResult = <T>(context: Context, result: Result<T, Fault>): Response =>
  result.match(
    (value) => context.json(value ?? {}),
    (fault) => sendFault(context, fault),
  );

/** Resets the connection without a response. */
const resetConnection = (context: Context<Bindings>): Response => {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
};

/** Sends no response and waits until the connection closes. */
const holdRequest = (context: Context<Bindings>): Promise<Response> =>
  new Promise((resolve) => {
    context.env.incoming.socket.once('close', () => resolve(RESPONSE_ALREADY_SENT));
  });

/**
 * Injects the faults of a path into each request: connection resets, also for lost requests and replies,
 * requests held without a response, and latency.
 */
export const injectFaults = ({
  timer,
  random,
  faults,
  counters,
}: FaultInjectionOptions): MiddlewareHandler<Bindings> => {
  const drawBoolean = (chance: number): boolean => chance > 0 && random.next() < chance;
  const delayByLatency = async (): Promise<void> => {
    const delay = drawLatency(random, faults.latency);
    if (delay > 0) await timer.sleep(delay);
  };
  return async (context, next) => {
    if (faults.reachability === Reachability.Refusing) return resetConnection(context);
    if (faults.reachability === Reachability.Cut) {
      counters?.add('held');
      return holdRequest(context);
    }
    if (drawBoolean(faults.lostRequestChance)) return resetConnection(context);
    await delayByLatency();
    await next();
    if (drawBoolean(faults.lostReplyChance)) return resetConnection(context);
    await delayByLatency();
    return undefined;
  };
};

/** Listens on a port of the loopback address; 0 chooses a free one. */
export const listen = (app: App, port: number): Promise<Listener> =>
  new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, port, hostname: '127.0.0.1' }, (info: AddressInfo) => {
      resolve({
        address: `127.0.0.1:${info.port}`,
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeAllConnections();
          }),
      });
    }) as Server;
    server.once('error', reject);
  });
