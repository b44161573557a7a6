/** Bounds what connections to a listener other than the one for callers take. */
import type { RequestListener, Server } from 'node:http';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { Timer } from '@jujubelanding/timer';
import { CallerConnections } from './caller-connections.js';
import { CallerRefusals } from './caller-refusals.js';

/** Time for the head of a request once a part of it has arrived. */
const HEAD_TIMEOUT_MS = 10_000;

export interface ListenerGuardOptions {
  timer: Timer;
  log: Log;
  metrics: Pick<Metrics, 'increment'> | undefined;
  /** Name of the listener in log lines and counters. */
  listener: string;
  maxConnections: number;
  unreadTimeoutMs: number;
}

/** Applies the bounds to a server that has its handlers; requests of one connection are handled in turn. */
export const guardListener = (server: Server, options: ListenerGuardOptions): void => {
  const { timer, log, metrics, listener, maxConnections, unreadTimeoutMs } = options;
  const connections = new CallerConnections({
    timer,
    maxConnections,
    unreadTimeoutMs,
    refusals: new CallerRefusals({ timer, log, metrics, listener }),
    headTimeoutMs: () => HEAD_TIMEOUT_MS,
    dropSlowest: () => false,
  });
  server.on('connection', (socket) => connections.add(socket));
  const handlers = server.listeners('request') as RequestListener[];
  server.removeAllListeners('request');
  server.on('request', (message, response) => {
    const { socket } = message;
    // All requests that arrive together are announced, also those after the one that closes the connection.
    const handle = (mayBegin: boolean): void => {
      if (!mayBegin) return;
      response.once('close', () => connections.endRequest(socket));
      handlers.forEach((handler) => handler(message, response));
    };
    const turn = connections.beginRequest(socket, message);
    if (typeof turn === 'boolean') handle(turn);
    else void turn.then(handle);
  });
};
