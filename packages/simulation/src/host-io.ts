/** Binds platform clients to a host, which delays replies while paused and drops them once crashed. */
import type { Fault, Reply } from '@jujubelanding/errors';
import type { BackendServers, WorkerAddress } from '@jujubelanding/platform';
import type { BackendServersClient } from '@jujubelanding/stand-ins';
import type {
  Generation,
  ServiceRequest,
  ServiceResponse,
  StreamEnd,
  Token,
} from '@jujubelanding/types';
import type { Result } from 'neverthrow';
import type { Host } from './host.js';

type AsyncMethod = (...parameters: never[]) => Promise<unknown>;

const deliverReply = <T>(host: Host, reply: Promise<T>): Promise<T> =>
  new Promise((resolve) => {
    void reply.then((value) => host.deliver(() => resolve(value)));
  });

/** Wraps an object so that the replies of all its methods are delivered through the host. */
export const bindToHost = <T extends object>(host: Host, target: T): T =>
  new Proxy(target, {
    get: (object, property) => {
      const member: unknown = Reflect.get(object, property);
      if (typeof member !== 'function') return member;
      return (...parameters: never[]) =>
        deliverReply(host, Reflect.apply(member as AsyncMethod, object, parameters));
    },
  });

/** Runs a request whose connection breaks when the host crashes or the signal aborts. */
const runWithConnection = async <T>(
  host: Host,
  signal: AbortSignal,
  send: (signal: AbortSignal) => Reply<T>,
): Reply<T> => {
  const connection = new AbortController();
  const abort = (): void => connection.abort();
  if (signal.aborted) abort();
  signal.addEventListener('abort', abort, { once: true });
  // The operating system of a crashed host resets its connections, which ends its streams.
  const removeCrashHandler = host.onCrash(abort);
  const result: Result<T, Fault> = await deliverReply(host, send(connection.signal));
  removeCrashHandler();
  signal.removeEventListener('abort', abort);
  return result;
};

/**
 * Wraps the client of the backend servers so that tokens and replies are delivered through the host and
 * a crash of the host ends its generations and calls.
 */
export const bindBackendServersToHost = (
  host: Host,
  client: BackendServersClient,
): BackendServers => ({
  generate: (
    worker: WorkerAddress,
    generation: Generation,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd> =>
    runWithConnection(host, signal, (connection) =>
      client.generate(
        worker,
        generation,
        (token) => host.deliver(() => onToken(token)),
        connection,
      ),
    ),
  call: (worker: WorkerAddress, request: ServiceRequest, signal): Reply<ServiceResponse> =>
    runWithConnection(host, signal, (connection) => client.call(worker, request, connection)),
  cancel: (worker, requestId) => deliverReply(host, client.cancel(worker, requestId)),
  readLoad: (worker, afterSequence) => deliverReply(host, client.readLoad(worker, afterSequence)),
  sendOrder: (worker, order) => deliverReply(host, client.sendOrder(worker, order)),
  exportCache: (worker, requestId) => deliverReply(host, client.exportCache(worker, requestId)),
  importCache: (worker, requestId, cache) =>
    deliverReply(host, client.importCache(worker, requestId, cache)),
});
