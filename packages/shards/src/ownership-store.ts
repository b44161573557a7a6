/** Ownership keys and fencing counters in the key-value service. */
import { type Fault, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import { type KeyValueEntry, type KeyValueStore, WriteStatus } from '@jujubelanding/platform';
import { err, ok } from 'neverthrow';

const OWNERS_PREFIX = 'shards/';
const FENCES_PREFIX = 'shard-fences/';

/** A decoded ownership key. */
export interface OwnerEntry {
  shard: number;
  entryVmId: string;
  bootId: string;
  fence: number;
  leaseId: string | undefined;
  revision: number;
}

/** Ownership of a shard, as written to or read from its key. */
export interface Ownership {
  shard: number;
  fence: number;
  /** Modification revision of the ownership key. */
  revision: number;
}

/** A VM that tries to acquire shards under its lease. */
export interface Candidate {
  entryVmId: string;
  bootId: string;
  leaseId: string;
}

const createOwnerKey = (shard: number): string => `${OWNERS_PREFIX}${shard}`;
const createFenceKey = (shard: number): string => `${FENCES_PREFIX}${shard}`;

/** Value of a fencing counter. */
interface FenceValue {
  fence: number;
  /** Identifies the write, to find out whether a write whose reply was lost took effect. */
  writeId: string;
}

const readFence = (entry: KeyValueEntry | undefined): FenceValue =>
  entry === undefined ? { fence: 0, writeId: '' } : (JSON.parse(entry.value) as FenceValue);

const toOwnerEntry = ({ key, value, leaseId, modRevision }: KeyValueEntry): OwnerEntry => ({
  shard: Number(key.slice(OWNERS_PREFIX.length)),
  ...(JSON.parse(value) as Pick<OwnerEntry, 'entryVmId' | 'bootId' | 'fence'>),
  leaseId,
  revision: modRevision,
});

/**
 * Stores ownership keys and fencing counters. The ownership key disappears with its lease, so the
 * fencing counter is a separate key without lease. It is incremented before the ownership key is
 * created: a number is used at most once, and a candidate that fails in between only leaves a gap.
 */
export class OwnershipStore {
  constructor(
    private readonly store: KeyValueStore,
    private readonly createId: () => string,
  ) {}

  async listOwners(): Reply<Map<number, OwnerEntry>> {
    const listed = await this.store.list(OWNERS_PREFIX);
    return listed.map(
      ({ entries }) =>
        new Map(entries.map(toOwnerEntry).map((entry) => [entry.shard, entry] as const)),
    );
  }

  async readFence(shard: number): Reply<number> {
    const entry = await this.store.get(createFenceKey(shard));
    return entry.map((found) => readFence(found).fence);
  }

  /**
   * Acquires a shard that has no ownership key. Resolves with undefined if another candidate was
   * faster.
   */
  async acquire(shard: number, candidate: Candidate): Reply<Ownership | undefined> {
    const incremented = await this.incrementFence(shard);
    if (incremented.isErr()) return err(incremented.error);
    if (incremented.value === undefined) return ok(undefined);
    const created = await this.create(shard, incremented.value, candidate);
    if (created.isErr()) return err(created.error);
    if (created.value === undefined) return ok(undefined);
    return this.confirm(created.value);
  }

  /**
   * Checks that the counter still equals the fencing number of an ownership key. A candidate may be
   * paused between incrementing the counter and creating the key; if another VM owned the shard in
   * the meantime under a higher number, the key is removed.
   */
  async confirm(ownership: Ownership): Reply<Ownership | undefined> {
    const fence = await this.readFence(ownership.shard);
    if (fence.isErr()) return err(fence.error);
    if (fence.value === ownership.fence) return ok(ownership);
    const removed = await this.release(ownership);
    return removed.map(() => undefined);
  }

  /** Removes an ownership key; also succeeds if it no longer exists or has another owner. */
  async release({ shard, revision }: Ownership): Reply<void> {
    const removed = await this.store.remove(createOwnerKey(shard), revision);
    return removed.map(() => undefined);
  }

  private async incrementFence(shard: number): Reply<number | undefined> {
    const key = createFenceKey(shard);
    const current = await this.store.get(key);
    if (current.isErr()) return err(current.error);
    const fence = readFence(current.value).fence + 1;
    const writeId = this.createId();
    const written = await this.store.write({
      key,
      value: JSON.stringify({ fence, writeId }),
      expectedRevision: current.value?.modRevision ?? 0,
    });
    if (written.isOk()) return ok(written.value.status === WriteStatus.Written ? fence : undefined);
    return this.resolveLostReply(written.error, key, (entry) =>
      readFence(entry).writeId === writeId ? fence : undefined,
    );
  }

  private async create(
    shard: number,
    fence: number,
    { entryVmId, bootId, leaseId }: Candidate,
  ): Reply<Ownership | undefined> {
    const key = createOwnerKey(shard);
    const value = JSON.stringify({ entryVmId, bootId, fence });
    const written = await this.store.write({ key, value, expectedRevision: 0, leaseId });
    if (written.isOk()) {
      if (written.value.status === WriteStatus.Conflict) return ok(undefined);
      return ok({ shard, fence, revision: written.value.revision });
    }
    return this.resolveLostReply(written.error, key, (entry) =>
      entry?.leaseId === leaseId && entry.value === value
        ? { shard, fence, revision: entry.modRevision }
        : undefined,
    );
  }

  /**
   * Reads the key back after a lost reply. If the write is not found it may still arrive, so its
   * outcome remains unknown.
   */
  private async resolveLostReply<T>(
    fault: Fault,
    key: string,
    find: (entry: KeyValueEntry | undefined) => T | undefined,
  ): Reply<T | undefined> {
    if (fault.outcome !== Outcome.OutcomeUnknown) return err(fault);
    const entry = await this.store.get(key);
    if (entry.isErr()) return err(entry.error);
    const found = find(entry.value);
    return found === undefined ? err(fault) : ok(found);
  }
}

/** True if the fault means that the lease has ended. */
export const isLeaseEnded = (fault: Fault): boolean => fault.code === FaultCode.NotFound;
