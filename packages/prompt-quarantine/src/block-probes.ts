import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import {
  ChangeKind,
  CommitStatus,
  type CommitResult,
  type KeyValueChange,
  type Transaction,
  type TransactionalStore,
} from '@jujubelanding/platform';
import { rankOf } from '@jujubelanding/random';
import { ResultAsync } from 'neverthrow';
import { BLOCK_MS } from './block-list.js';
import {
  computeProbeDelayMs,
  createProbeState,
  decideProbe,
  ProbeStep,
  type ProbeState,
} from './probe-schedule.js';

/**
 * A reservation that is older than this is stored again when it is used, so that the other VMs count the time
 * to the next probe from then on.
 */
const RENEWAL_MS = 2000;

/** Separates the number of probes from the VM that wrote it. */
const SEPARATOR = ' ';

export interface BlockProbesOptions {
  log: Log;
  metrics: Metrics;
  store: Pick<TransactionalStore, 'commit' | 'grantLease'>;
  /** Key prefix of the numbers of probes; the id of the block follows. */
  probePrefix: string;
  self: string;
  listServing: () => readonly string[];
}

interface SharedProbeState extends ProbeState {
  /** Store revision of the number of probes; 0 if it is not stored. */
  revision: number;
  /** Time of the last write by this VM. */
  storedAt: number;
  isWriting: boolean;
}

/** A request that was sent although a block applies to it. */
export interface Probe {
  /** Lets another request be the probe, as no worker has run this one. */
  giveBack(): void;
}

interface StoredProbes {
  count: number;
  writer: string;
}

/** Returns undefined for a value that cannot be read. */
const decodeStoredProbes = (value: string): StoredProbes | undefined => {
  const [count, writer, ...others] = value.split(SEPARATOR);
  if (writer === undefined || others.length > 0 || !/^\d{1,6}$/.test(count!)) return undefined;
  return { count: Number(count), writer };
};

/**
 * Probes of blocks. A VM reserves each probe in the store under a condition, so that one request of the whole
 * fleet reaches a worker. The answer to it lifts the block; after another crash, the next probe is due later.
 */
export class BlockProbes {
  /** By block id. */
  private readonly states = new Map<string, SharedProbeState>();

  constructor(private readonly options: BlockProbesOptions) {}

  /** Records a request to which the block applies; returns true if it may be sent as the probe. */
  want(blockId: string, now: number): boolean {
    const state = this.getOrCreate(blockId, now);
    state.wantedAt = now;
    return state.isReserved;
  }

  /** Uses the reserved probes of the blocks for one request; returns undefined if there are none. */
  take(blockIds: readonly string[], now: number): Probe | undefined {
    const reserved = blockIds
      .map((id): [string, SharedProbeState | undefined] => [id, this.states.get(id)])
      .filter((entry): entry is [string, SharedProbeState] => entry[1]?.isReserved === true);
    if (reserved.length === 0) return undefined;
    reserved.forEach(([block, state]) => {
      Object.assign(state, { isReserved: false, since: now });
      if (now - state.storedAt > RENEWAL_MS) void this.store(block, state, now);
      this.options.log.write('block-probed', { block, count: state.count });
      this.options.metrics.increment('quarantine.probes');
    });
    const giveBack = (): void => {
      reserved.forEach(([id, state]) => {
        // Another VM may have reserved the next probe meanwhile.
        if (this.states.get(id) === state) Object.assign(state, { isReserved: true });
      });
    };
    return { giveBack };
  }

  /** Time until the next probe of the block may be reserved. */
  delayMs(blockId: string, now: number): number {
    return computeProbeDelayMs(this.getOrCreate(blockId, now), now);
  }

  /** Reserves probes that are due and wanted on this VM. */
  update(blockIds: readonly string[], now: number): void {
    const { self, listServing } = this.options;
    blockIds.forEach((id) => {
      const state = this.getOrCreate(id, now);
      if (state.isWriting) return;
      const step = decideProbe(state, () => rankOf(id, self, listServing()), now);
      if (step === ProbeStep.Reserve) void this.reserve(id, state, now);
      else if (step === ProbeStep.Return) void this.returnReserved(id, state, now);
    });
    this.prune(new Set(blockIds), now);
  }

  /** Continues the probes of a block with what remains of it, on all VMs. */
  async narrow(blockId: string, restId: string, now: number): Promise<void> {
    const count = this.states.get(blockId)?.count ?? 0;
    if (count === 0 || (this.states.get(restId)?.count ?? 0) >= count) return;
    this.set(restId, now, createProbeState(now, count));
    await this.write(restId, count, []);
  }

  /** Forgets the probes of a block that an answer has lifted, on all VMs. */
  async reset(blockId: string): Promise<void> {
    const state = this.states.get(blockId);
    this.states.delete(blockId);
    if (state !== undefined && state.count > 0) await this.write(blockId, 0, []);
  }

  /** Applies a change of a key under the prefix. */
  apply({ kind, entry }: KeyValueChange, now: number): void {
    const { probePrefix, self, log } = this.options;
    const id = entry.key.slice(probePrefix.length);
    const known = this.states.get(id);
    if (kind === ChangeKind.Delete) {
      if (known !== undefined) Object.assign(known, { revision: 0 });
      return;
    }
    const stored = decodeStoredProbes(entry.value);
    if (stored === undefined) {
      log.write('probes-skipped', { block: id, reason: 'unreadable' });
      return;
    }
    if (known !== undefined && entry.modRevision < known.revision) return;
    if (known !== undefined && stored.writer === self) {
      // The reply to the write tells whether it took effect.
      if (known.isWriting) return;
      if (stored.count === known.count) {
        Object.assign(known, { revision: entry.modRevision });
        return;
      }
    }
    this.set(id, now, {
      ...createProbeState(now, stored.count),
      wantedAt: known?.wantedAt ?? -Infinity,
      revision: entry.modRevision,
    });
  }

  private async reserve(id: string, state: SharedProbeState, now: number): Promise<void> {
    const revision = await this.writeFor(id, state, state.count + 1, now);
    // A change by another VM has replaced the state, and counts.
    if (revision === undefined || this.states.get(id) !== state) return;
    Object.assign(state, { revision, count: state.count + 1, since: now, isReserved: true });
  }

  private async returnReserved(id: string, state: SharedProbeState, now: number): Promise<void> {
    Object.assign(state, { isReserved: false, count: state.count - 1 });
    await this.store(id, state, now);
  }

  private async store(id: string, state: SharedProbeState, now: number): Promise<void> {
    const revision = await this.writeFor(id, state, state.count, now);
    if (revision !== undefined) Object.assign(state, { revision });
  }

  /** Writes the number of probes unless another VM has; returns the revision if it took effect. */
  private async writeFor(
    id: string,
    state: SharedProbeState,
    count: number,
    now: number,
  ): Promise<number | undefined> {
    const key = `${this.options.probePrefix}${id}`;
    Object.assign(state, { isWriting: true, storedAt: now });
    const committed = await this.write(id, count, [{ key, revision: state.revision }]);
    Object.assign(state, { isWriting: false });
    if (committed?.status === CommitStatus.Committed) return committed.revision;
    if (committed?.status === CommitStatus.Conflict) {
      committed.current.forEach((entry) => this.apply({ kind: ChangeKind.Put, entry }, now));
    }
    return undefined;
  }

  private async write(
    id: string,
    count: number,
    conditions: Transaction['conditions'],
  ): Promise<CommitResult | undefined> {
    const { store, probePrefix, self, log } = this.options;
    const lease = await store.grantLease(BLOCK_MS);
    const committed = await lease.asyncAndThen(({ leaseId }) => {
      const value = `${count}${SEPARATOR}${self}`;
      const writes = [{ key: `${probePrefix}${id}`, value, leaseId }];
      return new ResultAsync(store.commit({ conditions, writes, removals: [] }));
    });
    if (committed.isErr() || committed.value.status !== CommitStatus.Committed) {
      const code = committed.isErr() ? committed.error.code : committed.value.status;
      log.write('probe-not-stored', { block: id, count, code });
    }
    return committed.unwrapOr(undefined);
  }

  private getOrCreate(id: string, now: number): SharedProbeState {
    return this.states.get(id) ?? this.set(id, now, createProbeState(now));
  }

  private set(
    id: string,
    now: number,
    state: ProbeState & Partial<SharedProbeState>,
  ): SharedProbeState {
    const shared = { revision: 0, storedAt: -Infinity, isWriting: false, ...state };
    this.states.set(id, shared);
    return shared;
  }

  /** A number of probes may arrive before its block. */
  private prune(blockIds: ReadonlySet<string>, now: number): void {
    for (const [id, { since, count }] of this.states) {
      if (!blockIds.has(id) && (count === 0 || now - since > BLOCK_MS)) this.states.delete(id);
    }
  }
}
