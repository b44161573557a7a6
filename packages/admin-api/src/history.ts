/** Earlier revisions of a record, kept in one bounded list. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import { type KeyValueStore, WriteStatus } from '@jujubelanding/platform';
import { historyKey, parseHistory, type RecordRevision } from '@jujubelanding/records';
import { err, ok } from 'neverthrow';
import { createFault, toUnavailable } from './faults.js';

export const MAX_HISTORY_REVISIONS = 20;
/** Well below the largest value of the key-value service. */
const MAX_HISTORY_BYTES = 768 * 1024;
/** Largest record that is accepted. */
export const MAX_RECORD_BYTES = 64 * 1024;
/** Revisions that fit in any case. */
export const MIN_HISTORY_REVISIONS = 8;
const APPEND_ATTEMPTS = 5;

/** Adds a revision, newest first, and drops the oldest beyond the bounds. */
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
   * Adds the revision that is about to be replaced. Done before the record is written: a revision that
   * was in force is then never missing, and one whose replacement failed is only listed early.
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
      // After a conflict or a lost reply the next attempt reads what the list contains now.
      if (written.isOk() && written.value.status === WriteStatus.Written) return ok();
    }
    const message = 'the history could not be written';
    return err(createFault(FaultCode.Unavailable, 'write-history', message));
  }
}
