/** Previous revisions of a record, stored as one list of limited size. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import { type KeyValueStore, WriteStatus } from '@jujubelanding/platform';
import { historyKey, parseHistory, type RecordRevision } from '@jujubelanding/records';
import { err, ok } from 'neverthrow';
import { createFault, toUnavailable } from './faults.js';

export const MAX_HISTORY_REVISIONS = 20;
/** Well below the maximum value size of the key-value service. */
const MAX_HISTORY_BYTES = 768 * 1024;
/** Maximum size of a record. */
export const MAX_RECORD_BYTES = 64 * 1024;
/** Number of revisions that fit into the history even if all have the maximum size. */
export const MIN_HISTORY_REVISIONS = 8;
const APPEND_ATTEMPTS = 5;

/** Adds a revision, keeps the list sorted newest first and drops the oldest beyond the limits. */
export const appendRevision = (
  history: readonly RecordRevision[],
  added: RecordRevision,
): RecordRevision[] => {
  const all = [added, ...history]
    .toSorted((a, b) => b.revision - a.revision)
    .slice(0, MAX_HISTORY_REVISIONS);
  while (all.length > 1 && Buffer.byteLength(JSON.stringify(all)) > MAX_HISTORY_BYTES) all.pop();
  return all;
};

export class HistoryStore {
  constructor(private readonly store: KeyValueStore) {}

  async read(kind: string, name: string): Reply<RecordRevision[]> {
    const entry = await this.store.get(historyKey(kind, name));
    return entry.map((found) => parseHistory(found?.value));
  }

  /**
   * Adds the revision that is about to be replaced. This happens before the record is written, so that
   * no previous revision is ever missing; if the write fails, the current revision is merely listed
   * early.
   */
  async append(kind: string, name: string, added: RecordRevision): Reply<void> {
    const key = historyKey(kind, name);
    for (let attempt = 1; attempt <= APPEND_ATTEMPTS; attempt += 1) {
      const entry = await this.store.get(key);
      if (entry.isErr()) return err(toUnavailable(entry.error, 'write-history'));
      const history = parseHistory(entry.value?.value);
      if (history.some(({ revision }) => revision === added.revision)) return ok();
      const written = await this.store.write({
        key,
        value: JSON.stringify(appendRevision(history, added)),
        expectedRevision: entry.value?.modRevision ?? 0,
      });
      // After a conflict or a lost reply the next attempt reads the list again.
      if (written.isOk() && written.value.status === WriteStatus.Written) return ok();
    }
    const message = 'the history could not be written';
    return err(createFault(FaultCode.Unavailable, 'write-history', message));
  }
}
