/** HTTP client for the key-value service. */
import type { Reply } from '@jujubelanding/errors';
import {
  ChangeKind,
  WriteStatus,
  type KeyValueStore,
  type WriteResult,
} from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { SHARD_COUNT } from '@jujubelanding/types';
import * as z from 'zod';
import { HttpClient, type CallRequest } from './http-client.js';
import { createQuery } from './query.js';

export interface KeyValueClientOptions {
  /** host:port */
  address: string;
  timer: Timer;
  /** Timeout of a call; the wait time of a watch is added to it. */
  timeoutMs?: number;
}

/** A client whose connections can be closed. */
export type Closable<T> = T & { close(): Promise<void> };

const PEER_NAME = 'key-value';

const DEFAULT_TIMEOUT_MS = 2000;

const CONNECT_TIMEOUT_MS = 1000;

const CALL_CONNECTIONS = 32;

/**
 * A waiting watch occupies a connection, and there is one watch per owned shard and one for the records.
 * With 16 connections, a VM that owned 23 shards had no connection left for its watch of the records.
 */
const WATCH_CONNECTIONS = SHARD_COUNT + 8;

const entrySchema = z.object({
  key: z.string(),
  value: z.string(),
  modRevision: z.number(),
  leaseId: z.string().optional(),
});

const getSchema = z.object({ entry: entrySchema.optional() });

const listSchema = z.object({ entries: z.array(entrySchema), revision: z.number() });

const writeResultSchema: z.ZodType<WriteResult> = z.discriminatedUnion('status', [
  z.object({ status: z.literal(WriteStatus.Written), revision: z.number() }),
  z.object({ status: z.literal(WriteStatus.Conflict), current: entrySchema.optional() }),
]);

const leaseSchema = z.object({ leaseId: z.string(), ttlMs: z.number() });

const watchSchema = z.object({
  changes: z.array(z.object({ kind: z.enum(ChangeKind), entry: entrySchema })),
  revision: z.number(),
  compacted: z.boolean(),
});

const createLeasePath = (leaseId: string): string => `/v1/leases/${encodeURIComponent(leaseId)}`;

/** Sends a call to the key-value service. */
type CallSender = <T>(
  schema: z.ZodType<T>,
  request: Pick<CallRequest, 'step' | 'method' | 'path' | 'json'>,
) => Reply<T>;

const createKeyCalls = (
  send: CallSender,
): Pick<KeyValueStore, 'get' | 'list' | 'write' | 'remove'> => ({
  get: async (key) => {
    const path = `/v1/key?${createQuery({ key })}`;
    const reply = await send(getSchema, { step: 'get', method: 'GET', path });
    return reply.map(({ entry }) => entry);
  },
  list: (prefix, limit, afterKey) => {
    const path = `/v1/keys?${createQuery({ prefix, limit, afterKey })}`;
    return send(listSchema, { step: 'list', method: 'GET', path });
  },
  write: (write) =>
    send(writeResultSchema, { step: 'write', method: 'PUT', path: '/v1/key', json: write }),
  remove: (key, expectedRevision) => {
    const path = `/v1/key?${createQuery({ key, expectedRevision })}`;
    return send(writeResultSchema, { step: 'remove', method: 'DELETE', path });
  },
});

type LeaseCalls = Pick<KeyValueStore, 'grantLease' | 'renewLease' | 'revokeLease'>;

const createLeaseCalls = (send: CallSender): LeaseCalls => ({
  grantLease: (ttlMs) =>
    send(leaseSchema, {
      step: 'grantLease',
      method: 'POST',
      path: '/v1/leases',
      json: { ttlMs },
    }),
  renewLease: (leaseId) => {
    const path = `${createLeasePath(leaseId)}/renew`;
    return send(leaseSchema, { step: 'renewLease', method: 'POST', path });
  },
  revokeLease: async (leaseId) => {
    const path = createLeasePath(leaseId);
    const reply = await send(z.object({}), { step: 'revokeLease', method: 'DELETE', path });
    return reply.map(() => undefined);
  },
});

/** Creates a client for the key-value service. */
export const createKeyValueClient = (options: KeyValueClientOptions): Closable<KeyValueStore> => {
  const { address, timer, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const connect = (connections: number): HttpClient =>
    new HttpClient(timer, { connections, connectTimeoutMs: CONNECT_TIMEOUT_MS }, timeoutMs);
  const calls = connect(CALL_CONNECTIONS);
  const watches = connect(WATCH_CONNECTIONS);
  const send: CallSender = (schema, request) =>
    calls.call({ ...request, peer: PEER_NAME, address }, schema);
  return {
    ...createKeyCalls(send),
    ...createLeaseCalls(send),
    watch: (prefix, afterRevision, waitMs) => {
      const path = `/v1/watch?${createQuery({ prefix, afterRevision, waitMs })}`;
      const request = { step: 'watch', peer: PEER_NAME, address, method: 'GET' as const, path };
      return watches.call({ ...request, timeoutMs: waitMs + timeoutMs }, watchSchema);
    },
    close: async () => {
      await Promise.all([calls.close(), watches.close()]);
    },
  };
};
