import type { Reply } from '@jujubelanding/errors';
import {
  CommitStatus,
  type CommitResult,
  type KeyValueEntry,
  type Transaction,
  type TransactionalStore,
} from '@jujubelanding/platform';
import { err, ok } from 'neverthrow';
import type { JobSnapshot } from './job-table.js';
import type { JobTransactions } from './job-transactions.js';
import type { KeySpace } from './key-space.js';
import { decodeDelta, mergeDeltas, type JobProgress, type ProgressDelta } from './progress.js';

export enum SaveStatus {
  /** The delta is stored, by this call or by an earlier one whose reply was lost. */
  Saved = 'saved',
  /** Another VM owns or owned the job, or this VM owns it through a later ownership entry. */
  OwnerChanged = 'owner-changed',
}

/** A delta with its position among the deltas of its job. */
export interface NumberedDelta {
  sequence: number;
  delta: ProgressDelta;
}

/** Entries by which a transaction stores a delta of a job that this VM owns. */
export const createDeltaEntries = (
  keys: KeySpace,
  { job, ownerRevision }: JobSnapshot,
  { sequence, delta }: NumberedDelta,
): Pick<Transaction, 'conditions' | 'writes'> => {
  const key = keys.progressDelta(job.id, sequence);
  return {
    conditions: [
      { key: keys.owner(job.id), revision: ownerRevision },
      { key, revision: 0 },
    ],
    writes: [{ key, value: JSON.stringify(delta) }],
  };
};

/**
 * Returns what the result of a transaction with these entries says about the delta; undefined if another
 * condition of the transaction did not hold.
 */
export const readSaveStatus = (
  result: CommitResult,
  { conditions, writes }: Pick<Transaction, 'conditions' | 'writes'>,
): SaveStatus | undefined => {
  if (result.status === CommitStatus.Committed) return SaveStatus.Saved;
  if (result.status !== CommitStatus.Conflict) return SaveStatus.OwnerChanged;
  const find = (key: string): KeyValueEntry | undefined =>
    result.current.find((entry) => entry.key === key);
  // Another owner may have stored a delta under the same number.
  if (writes.some(({ key, value }) => find(key)?.value === value)) return SaveStatus.Saved;
  const isChanged = conditions.some(
    ({ key, revision }) => (find(key)?.modRevision ?? 0) !== revision,
  );
  return isChanged ? SaveStatus.OwnerChanged : undefined;
};

/** Progress that the owners of a job have stored so far. */
export interface StoredProgress {
  progress: JobProgress;
  /** Sequence number of the next delta. */
  sequence: number;
}

export interface ProgressStoreOptions {
  store: Pick<TransactionalStore, 'list'>;
  transactions: JobTransactions;
  keys: KeySpace;
}

/** Stores the progress of unfinished items; writes succeed only for the current owner of the job. */
export class ProgressStore {
  constructor(private readonly options: ProgressStoreOptions) {}

  /** Releases the ownership of a job, and stores the remaining progress in the same transaction. */
  async release(
    { job, ownerRevision }: JobSnapshot,
    sequence: number,
    delta: ProgressDelta | undefined,
  ): Reply<boolean> {
    const { keys, transactions } = this.options;
    const reply = await transactions.commit({
      conditions: [{ key: keys.owner(job.id), revision: ownerRevision }],
      writes:
        delta === undefined
          ? []
          : [{ key: keys.progressDelta(job.id, sequence), value: JSON.stringify(delta) }],
      removals: [keys.owner(job.id)],
    });
    return reply.map(({ status }) => status === CommitStatus.Committed);
  }

  /** Stores a progress delta of a job that this VM owns. */
  async save(snapshot: JobSnapshot, sequence: number, delta: ProgressDelta): Reply<SaveStatus> {
    const { keys, transactions } = this.options;
    const entries = createDeltaEntries(keys, snapshot, { sequence, delta });
    const reply = await transactions.commit({ ...entries, removals: [] });
    return reply.map((result) => readSaveStatus(result, entries) ?? SaveStatus.OwnerChanged);
  }

  /** Reads the progress that earlier owners stored. */
  async read(jobId: string): Reply<StoredProgress> {
    const { store, keys } = this.options;
    const prefix = keys.progressDeltas(jobId);
    const entries: KeyValueEntry[] = [];
    for (;;) {
      const page = await store.list(prefix, undefined, entries.at(-1)?.key);
      if (page.isErr()) return err(page.error);
      entries.push(...page.value.entries);
      if (page.value.hasMore !== true || page.value.entries.length === 0) break;
    }
    const deltas = entries
      .map(({ value }) => decodeDelta(value))
      .filter((delta) => delta !== undefined);
    const last = entries.at(-1)?.key.slice(prefix.length);
    const sequence = last === undefined ? 0 : Number(last) + 1;
    return ok({ progress: mergeDeltas(deltas), sequence });
  }
}
