/** Reads records from the key-value service. */
import type { Reply } from '@jujubelanding/errors';
import type { ConfigurationDelta, ReplicatedRecord } from '@jujubelanding/peer-protocol';
import { ChangeKind, type KeyValueEntry, type KeyValueStore } from '@jujubelanding/platform';
import {
  encodeStored,
  historyKey,
  parseHistory,
  parseRecordKey,
  parseStored,
  recordKey,
  RECORDS_PREFIX,
} from '@jujubelanding/records';
import { err, ok } from 'neverthrow';

const PAGE_SIZE = 500;

/** Records read, and the store revision up to which they are complete. */
export interface StoreRead {
  delta: ConfigurationDelta;
  storeRevision: number;
}

export enum WatchStatus {
  Read = 'read',
  /** The changes after the revision are no longer available. */
  Compacted = 'compacted',
}

export type WatchOutcome =
  { status: WatchStatus.Compacted } | ({ status: WatchStatus.Read } & StoreRead);

const toRecords = ({ key, value, modRevision }: KeyValueEntry): ReplicatedRecord[] => {
  const parsed = parseRecordKey(key);
  return parsed === undefined ? [] : [{ ...parsed, revision: modRevision, value }];
};

const createDelta = (afterRevision: number, entries: KeyValueEntry[]): ConfigurationDelta => {
  const records = entries.flatMap(toRecords);
  const revision = records.reduce((highest, record) => Math.max(highest, record.revision), 0);
  return { afterRevision, revision: Math.max(afterRevision, revision), records };
};

export class StoreReader {
  constructor(private readonly store: KeyValueStore) {}

  /**
   * Reads all records page by page. A page does not contain changes made after it was read, so all changes
   * since the first page are then read through a watch.
   */
  async readAll(): Reply<StoreRead> {
    const entries: KeyValueEntry[] = [];
    let firstRevision: number | undefined;
    for (let isLast = false, after: string | undefined; !isLast; after = entries.at(-1)?.key) {
      const page = await this.store.list(RECORDS_PREFIX, PAGE_SIZE, after);
      if (page.isErr()) return err(page.error);
      firstRevision ??= page.value.revision;
      entries.push(...page.value.entries);
      isLast = page.value.entries.length < PAGE_SIZE;
    }
    const changesSince = await this.watch(firstRevision!, 0);
    if (changesSince.isErr()) return err(changesSince.error);
    // The changes made during the read were already compacted, so start again.
    if (changesSince.value.status === WatchStatus.Compacted) return this.readAll();
    const delta = createDelta(0, entries);
    const lastValid = await this.readLastValid(delta.records);
    if (lastValid.isErr()) return err(lastValid.error);
    const { records, revision } = changesSince.value.delta;
    return ok({
      storeRevision: changesSince.value.storeRevision,
      delta: {
        afterRevision: 0,
        revision: records.length === 0 ? delta.revision : Math.max(delta.revision, revision),
        records: [...lastValid.value, ...delta.records, ...records],
      },
    });
  }

  /** Reads the last valid revisions of records that do not parse. */
  private async readLastValid(records: readonly ReplicatedRecord[]): Reply<ReplicatedRecord[]> {
    const lastValid: ReplicatedRecord[] = [];
    for (const { kind, name, revision, value } of records) {
      if (parseStored(value).isOk()) continue;
      const history = await this.store.get(historyKey(kind, name));
      if (history.isErr()) return err(history.error);
      const lastValidRevision = parseHistory(history.value?.value)
        .filter((earlier) => earlier.revision < revision)
        .map((earlier) => ({ revision: earlier.revision, value: encodeStored(earlier.stored) }))
        .find((earlier) => parseStored(earlier.value).isOk());
      if (lastValidRevision !== undefined) lastValid.push({ kind, name, ...lastValidRevision });
    }
    return ok(lastValid);
  }

  /** Waits up to `waitMs` for changes after a store revision. */
  async watch(afterRevision: number, waitMs: number): Reply<WatchOutcome> {
    const watched = await this.store.watch(RECORDS_PREFIX, afterRevision, waitMs);
    return watched.map(({ changes, revision, compacted }) => {
      if (compacted) return { status: WatchStatus.Compacted };
      const entries = changes
        .filter(({ kind }) => kind === ChangeKind.Put)
        .map(({ entry }) => entry);
      return {
        status: WatchStatus.Read,
        delta: createDelta(afterRevision, entries),
        storeRevision: revision,
      };
    });
  }

  /** True if the service stores this revision of the record or a later one. */
  async confirm({ kind, name, revision }: ReplicatedRecord): Reply<boolean> {
    const entry = await this.store.get(recordKey(kind, name));
    return entry.map((found) => found !== undefined && found.modRevision >= revision);
  }
}
