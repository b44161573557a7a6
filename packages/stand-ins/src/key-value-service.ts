/** Key-value service with call counts and with faults that can be set for each client. */
import type { Fault, Reply } from '@jujubelanding/errors';
import type { KeyValueStore, TransactionalStore } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { ok, type Result } from 'neverthrow';
import { Counters } from './counters.js';
import { KeyValueState } from './key-value-state.js';
import { createLinkFaults, Link, type LinkFaults } from './link.js';

/** Timeout of a client's calls. */
export const KEY_VALUE_TIMEOUT_MS = 2000;

/** Kinds of calls that count toward the service's write rate. */
export const KEY_VALUE_WRITE_KINDS: readonly string[] = [
  'write',
  'remove',
  'commit',
  'grantLease',
  'renewLease',
  'revokeLease',
];

export interface KeyValueServiceOptions {
  timer: Timer;
  random: Random;
  historyLimit?: number;
  timeoutMs?: number;
}

/** Client with its own faults, which affect no other client. */
export interface KeyValueClient extends KeyValueStore, TransactionalStore {
  readonly faults: LinkFaults;
}

export class KeyValueService {
  readonly faults = createLinkFaults();

  readonly counters = new Counters();

  readonly state: KeyValueState;

  constructor(private readonly options: KeyValueServiceOptions) {
    this.state = new KeyValueState(options.timer, options.random, options.historyLimit);
  }

  /** Creates a client that can be cut off separately. */
  createClient(name: string): KeyValueClient {
    const faults = createLinkFaults();
    const link = new Link({
      timer: this.options.timer,
      random: this.options.random,
      peer: `key-value(${name})`,
      faults: [this.faults, faults],
      timeoutMs: this.options.timeoutMs ?? KEY_VALUE_TIMEOUT_MS,
    });
    return { faults, ...this.createStore(link) };
  }

  /** Returns the calls by kind, and the totals of reads and writes to which the service's limits apply. */
  readCounters(): Record<string, number> {
    const counts = this.counters.read();
    // Requests that were held did not reach the service.
    const held = counts.held ?? 0;
    const total = Object.values(counts).reduce((sum, count) => sum + count, -held);
    const writes = KEY_VALUE_WRITE_KINDS.reduce((sum, kind) => sum + (counts[kind] ?? 0), 0);
    return { ...counts, writes, reads: total - writes };
  }

  private createStore(link: Link): KeyValueStore & TransactionalStore {
    const { state } = this;
    const callService = <T>(
      kind: string,
      call: () => Reply<T> | Result<T, Fault>,
      waitMs = 0,
    ): Reply<T> => link.call(kind, () => this.count(kind, call), waitMs);
    return {
      get: (key) => callService('get', () => ok(state.get(key))),
      list: (prefix, limit, afterKey) =>
        callService('list', () => ok(state.list(prefix, limit, afterKey))),
      listStale: (prefix, afterKey) =>
        callService('listStale', () => ok(state.list(prefix, Infinity, afterKey))),
      write: (write) => callService('write', () => state.write(write)),
      commit: (transaction) => callService('commit', () => state.commit(transaction)),
      remove: (key, expectedRevision) =>
        callService('remove', () => state.remove(key, expectedRevision)),
      grantLease: (ttlMs) => callService('grantLease', () => ok(state.grantLease(ttlMs))),
      renewLease: (leaseId) => callService('renewLease', () => state.renewLease(leaseId)),
      revokeLease: (leaseId) => callService('revokeLease', () => ok(state.endLease(leaseId))),
      watch: (prefix, afterRevision, waitMs) =>
        callService(
          'watch',
          async () => ok(await state.watch(prefix, afterRevision, waitMs)),
          waitMs,
        ),
    };
  }

  private count<T>(kind: string, call: () => T): T {
    this.counters.add(kind);
    return call();
  }
}
