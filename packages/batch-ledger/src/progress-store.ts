import type { Reply } from '@jujubelanding/errors';
import { CommitStatus, type KeyValueEntry, type TransactionalStore } from '@jujubelanding/platform';
import { err, ok } from 'neverthrow';
import type { JobSnapshot } from './job-table.js';
import type { JobTransactions } from './job-transactions.js';
import type { KeySpace } from './key-space.js';
import { decodeDelta, mergeDeltas, type JobProgress, type ProgressDelta } from './progress.js';

export enum SaveStatus {
  /** The part is stored, by this call or an earlier one without an answer. */
  Saved = 'saved',
  /** Another VM, or a later ownership of this one, has the job. */
  OwnerChanged = 'owner-changed',
}

/** Progress that owners of a job have stored. */
export interface StoredProgress {
  progress: JobProgress;
  /** Number of the part that follows. */
  sequence: number;
}

export interface ProgressStoreOptions {
  store: Pick<TransactionalStore, 'list'>;
  transactions: JobTransactions;
  keys: KeySpace;
}

/** Progress of unfinished items in the store; only the owner of a job can write it. */
export class ProgressStore {
  constructor(private readonly options: ProgressStoreOptions) {}

  /** Gives a job up to the other VMs, with the part of its progress that is not stored. */
  async release(
    { job, ownerRevision }: JobSnapshot,
    sequence: number,
    part: ProgressDelta | undefined,
  ): Reply<boolean> {
    const { keys, transactions } = this.options;
    const reply = await transactions.commit({
      conditions: [{ key: keys.owner(job.id), revision: ownerRevision }],
      writes:
        part === undefined
          ? []
          : [{ key: keys.progressDelta(job.id, sequence), value: JSON.stringify(part) }],
      removals: [keys.owner(job.id)],
    });
    return reply.map(({ status }) => status === CommitStatus.Committed);
  }

  /** Stores a part of the progress of a job that this VM owns. */
  async save(
    { job, ownerRevision }: JobSnapshot,
    sequence: number,
    part: ProgressDelta,
  ): Reply<SaveStatus> {
    const { keys, transactions } = this.options;
    const key = keys.progressDelta(job.id, sequence);
    const reply = await transactions.commit({
      conditions: [
        { key: keys.owner(job.id), revision: ownerRevision },
        { key, revision: 0 },
      ],
      writes: [{ key, value: JSON.stringify(part) }],
      removals: [],
    });
    return reply.map((result) => {
      const isStored =
        result.status === CommitStatus.Committed ||
        (result.status === CommitStatus.Conflict &&
          result.current.some((entry) => entry.key === key));
      return isStored ? SaveStatus.Saved : SaveStatus.OwnerChanged;
    });
  }

  /** Reads the progress that earlier owners left. */
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
    const parts = entries
      .map(({ value }) => decodeDelta(value))
      .filter((part) => part !== undefined);
    const last = entries.at(-1)?.key.slice(prefix.length);
    const sequence = last === undefined ? 0 : Number(last) + 1;
    return ok({ progress: mergeDeltas(parts), sequence });
  }
}
