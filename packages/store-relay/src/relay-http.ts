/** Protocol for store calls between entry VMs: JSON over HTTP. */
import { createServer, type IncomingMessage } from 'node:http';
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { TransactionalStore } from '@jujubelanding/platform';
import { HttpClient } from '@jujubelanding/platform-clients';
import type { Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { PrefixReader } from './shared-copy.js';
import type { WatchHub } from './watch-hub.js';

/** Timeout of a call through a peer: the store's call time plus the round trip to the peer. */
const CALL_TIMEOUT_MS = 1000;

const CONNECT_TIMEOUT_MS = 300;

/** Enough for the three watches and the calls of one entry VM. */
const CONNECTIONS_PER_PEER = 16;

const RELAY_PATH = '/store';

const COPY_PATH = '/copy';

/** Timeout of a read of a peer's copy, besides the wait of a watch; the peer answers from memory. */
const COPY_TIMEOUT_MS = 300;

const OK = 200;
const NOT_FOUND = 404;
const FAILED = 500;

const callSchema = z.discriminatedUnion('step', [
  z.object({ step: z.literal('get'), key: z.string() }),
  z.object({ step: z.literal('list'), prefix: z.string(), afterKey: z.string().optional() }),
  z.object({ step: z.literal('listStale'), prefix: z.string(), afterKey: z.string().optional() }),
  z.object({
    step: z.literal('commit'),
    transaction: z.object({
      conditions: z.array(z.object({ key: z.string(), revision: z.number() })),
      writes: z.array(
        z.object({ key: z.string(), value: z.string(), leaseId: z.string().optional() }),
      ),
      removals: z.array(z.string()),
    }),
  }),
  z.object({ step: z.literal('grantLease'), ttlMs: z.number() }),
  z.object({ step: z.literal('renewLease'), leaseId: z.string() }),
  z.object({ step: z.literal('revokeLease'), leaseId: z.string() }),
  z.object({
    step: z.literal('watch'),
    prefix: z.string(),
    afterRevision: z.number(),
    waitMs: z.number(),
  }),
]);

/** True if the copy must come from the store itself; earlier versions serve no other copies. */
const mustBeDirect = z.boolean().optional();

const copyCallSchema = z.discriminatedUnion('step', [
  z.object({
    step: z.literal('list'),
    prefix: z.string(),
    afterKey: z.string().optional(),
    mustBeDirect,
  }),
  z.object({
    step: z.literal('watch'),
    prefix: z.string(),
    afterRevision: z.number(),
    waitMs: z.number(),
    mustBeDirect,
  }),
]);

type CopyCall = z.infer<typeof copyCallSchema>;

export type RelayCall = z.infer<typeof callSchema>;

type Handlers = {
  [Step in RelayCall['step']]: (
    store: TransactionalStore,
    call: Extract<RelayCall, { step: Step }>,
  ) => Reply<unknown>;
};

const HANDLERS: Handlers = {
  get: (store, { key }) => store.get(key),
  list: (store, { prefix, afterKey }) => store.list(prefix, undefined, afterKey),
  listStale: (store, { prefix, afterKey }) => store.listStale(prefix, afterKey),
  commit: (store, { transaction }) => store.commit(transaction),
  grantLease: (store, { ttlMs }) => store.grantLease(ttlMs),
  renewLease: (store, { leaseId }) => store.renewLease(leaseId),
  revokeLease: (store, { leaseId }) => store.revokeLease(leaseId),
  watch: (store, { prefix, afterRevision, waitMs }) => store.watch(prefix, afterRevision, waitMs),
};

const run = (store: TransactionalStore, call: RelayCall): Reply<unknown> => {
  const handler = HANDLERS[call.step] as (
    store: TransactionalStore,
    call: RelayCall,
  ) => Reply<unknown>;
  return handler(store, call);
};

const createFault = (code: FaultCode, step: string, message: string): Fault => ({
  code,
  outcome: Outcome.NotRun,
  step,
  message,
});

export interface RelayServer {
  close(): void;
}

/** Finds the hub of a prefix; undefined if others must not read the copy of this VM. */
export type FindHub = (prefix: string, mustBeDirect: boolean) => WatchHub | undefined;

const readCopy = (hub: WatchHub, call: CopyCall): Reply<unknown> =>
  call.step === 'list' ? hub.list(call.afterKey) : hub.watch(call.afterRevision, call.waitMs);

const readJson = async (request: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

const toResponse = (reply: Result<unknown, Fault>): Record<string, unknown> =>
  reply.isOk() ? { value: reply.value } : { fault: reply.error };

type AnswerCall = (json: unknown) => Reply<unknown>;

/** Returns the handlers of calls by path. */
const createHandlers = (
  store: TransactionalStore,
  isDirect: () => boolean,
  findHub: FindHub,
): Map<string, AnswerCall> => {
  const answerCopy: AnswerCall = async (json) => {
    const call = copyCallSchema.safeParse(json);
    if (!call.success) {
      return err(createFault(FaultCode.InvalidInput, 'copy', z.prettifyError(call.error)));
    }
    const hub = findHub(call.data.prefix, call.data.mustBeDirect ?? false);
    if (hub !== undefined) return readCopy(hub, call.data);
    const message = 'this VM is no source of copies for the caller';
    return err(createFault(FaultCode.Unavailable, 'copy', message));
  };
  const answerRelay: AnswerCall = async (json) => {
    const call = callSchema.safeParse(json);
    if (!call.success) {
      return err(createFault(FaultCode.InvalidInput, 'relay', z.prettifyError(call.error)));
    }
    if (isDirect()) return run(store, call.data);
    const message = 'this VM has no direct path to the store';
    return err(createFault(FaultCode.Unavailable, 'relay', message));
  };
  return new Map([
    [COPY_PATH, answerCopy],
    [RELAY_PATH, answerRelay],
  ]);
};

/**
 * Opens a server that makes store calls for peers while the direct path of this VM works, and lets them
 * read its copies of the store.
 */
export const openRelayServer = (
  address: string,
  store: TransactionalStore,
  isDirect: () => boolean,
  findHub: FindHub,
): RelayServer => {
  const handlers = createHandlers(store, isDirect, findHub);
  // A server library would load the web interfaces of Node.js, which takes 12 ms of each start.
  const server = createServer((request, response) => {
    const handler = request.method === 'POST' ? handlers.get(request.url ?? '') : undefined;
    if (handler === undefined) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    readJson(request)
      .then(handler)
      .then((reply) => {
        const body = JSON.stringify(toResponse(reply));
        response.writeHead(OK, { 'content-type': 'application/json' }).end(body);
      })
      .catch(() => response.writeHead(FAILED).end());
  });
  const [hostname, port] = address.split(':');
  server.listen(Number(port), hostname);
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};

const replySchema = z.object({
  value: z.unknown().optional(),
  fault: z
    .object({
      code: z.enum(FaultCode),
      outcome: z.enum(Outcome),
      step: z.string(),
      message: z.string(),
    })
    .optional(),
});

export interface RelayClient {
  /** Returns a store whose calls are made by the given peer. */
  relay: (peer: string) => TransactionalStore;
  /**
   * Returns a reader of the peer's copies of the store.
   * `mustBeDirect`: the peer answers only if it follows the store itself.
   */
  readCopyOf: (peer: string, mustBeDirect: boolean) => PrefixReader;
  close: () => Promise<void>;
}

/** Creates the client of the servers that {@link openRelayServer} opens. */
export const createRelayClient = (timer: Timer): RelayClient => {
  const limits = { connections: CONNECTIONS_PER_PEER, connectTimeoutMs: CONNECT_TIMEOUT_MS };
  const http = new HttpClient(timer, limits, CALL_TIMEOUT_MS);
  const sendTo = async <T>(
    peer: string,
    path: string,
    json: RelayCall | CopyCall,
    timeoutMs: number,
  ): Reply<T> => {
    const request = { step: `relay-${json.step}`, peer, address: peer, path, timeoutMs };
    const reply = await http.call({ ...request, method: 'POST', json }, replySchema);
    // Peers run the same program, so the value has the result type of the call.
    return reply.andThen(({ value, fault }): Result<T, Fault> =>
      fault === undefined ? ok(value as T) : err(fault),
    );
  };
  const send = <T>(peer: string, json: RelayCall, waitMs = 0): Reply<T> =>
    sendTo(peer, RELAY_PATH, json, CALL_TIMEOUT_MS + waitMs);
  const readCopyOf = (peer: string, isDirect: boolean): PrefixReader => ({
    list: (prefix, _limit, afterKey) => {
      const call = { step: 'list' as const, prefix, mustBeDirect: isDirect };
      const json = afterKey === undefined ? call : { ...call, afterKey };
      return sendTo(peer, COPY_PATH, json, CALL_TIMEOUT_MS);
    },
    watch: (prefix, afterRevision, waitMs) =>
      sendTo(
        peer,
        COPY_PATH,
        { step: 'watch', prefix, afterRevision, waitMs, mustBeDirect: isDirect },
        COPY_TIMEOUT_MS + waitMs,
      ),
  });
  const relay = (peer: string): TransactionalStore => ({
    get: (key) => send(peer, { step: 'get', key }),
    list: (prefix, _limit, afterKey) =>
      send(peer, { step: 'list', prefix, ...(afterKey === undefined ? {} : { afterKey }) }),
    listStale: (prefix, afterKey) =>
      send(peer, { step: 'listStale', prefix, ...(afterKey === undefined ? {} : { afterKey }) }),
    commit: (transaction) => send(peer, { step: 'commit', transaction }),
    grantLease: (ttlMs) => send(peer, { step: 'grantLease', ttlMs }),
    renewLease: (leaseId) => send(peer, { step: 'renewLease', leaseId }),
    revokeLease: (leaseId) => send(peer, { step: 'revokeLease', leaseId }),
    watch: (prefix, afterRevision, waitMs) =>
      send(peer, { step: 'watch', prefix, afterRevision, waitMs }, waitMs),
  });
  return { relay, readCopyOf, close: () => http.close() };
};
