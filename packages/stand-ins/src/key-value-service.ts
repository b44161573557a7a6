/** Key-value service with per-client views, call counts and faults. */
import type { Fault, Reply } from '@jujubelanding/errors';
import type { KeyValueStore, TransactionalStore } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { ok, type Result } from 'neverthrow';
import { Counters } from './counters.js';
import { KeyValueState } from './key-value-state.js';
import { createLinkFaults, Link, type LinkFaults } from './link.js';

/** Time after which a client gives up on a call. */
export const KEY_VALUE_TIMEOUT_MS = 2000;

/** Call kinds that count toward the service's write rate. */
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

/** A client's view; its faults affect no other client. */
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

  /** Creates a view that can be cut off separately. */
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

  /** Calls by kind; reads and writes are the sums that the service's limits apply to. */
  readCounters(): Record<string, number> {
    const counts = this.counters.read();
    const held = counts.held ?? 0;
    const total = Object.values(counts).reduce((sum, count) => sum + count, -held);
    const writes = KEY_VALUE_WRITE_KINDS.reduce((sum, kind) => sum + (counts[kind] ?? 0), 0);
    return { ...counts, writes, reads: total - writes };
  }

  private createStore(link: Link): KeyValueStore & TransactionalStore {
    const { state } = this;
    const run = <T>(kind: string, call: () => Reply<T> | Result<T, Fault>, waitMs = 0): Reply<T> =>
      link.call(kind, () => this.count(kind, call), waitMs);
    return {
      get: (key) => run('get', () => ok(state.get(key))),
      list: (prefix, limit, afterKey) => run('list', () => ok(state.list(prefix, limit, afterKey))),
      write: (write) => run('write', () => state.write(write)),
      commit: (transaction) => run('commit', () => state.commit(transaction)),
      remove: (key, expectedRevision) => run('remove', () => state.remove(key, expectedRevision)),
      grantLease: (ttlMs) => run('grantLease', () => ok(state.grantLease(ttlMs))),
      renewLease: (leaseId) => run('renewLease', () => state.renewLease(leaseId)),
      revokeLease: (leaseId) => run('revokeLease', () => ok(state.endLease(leaseId))),
      watch: (prefix, afterRevision, waitMs) =>
        run('watch', async () => ok(await state.watch(prefix, afterRevision, waitMs)), waitMs),
    };
  }

  private count<T>(kind: string, call: () => T): T {
    this.counters.add(kind);
    return call();
  }
}
