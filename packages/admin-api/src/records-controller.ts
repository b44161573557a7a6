import { FaultCode, type Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { KeyValueEntry } from '@jujubelanding/platform';
import {
  isTombstone,
  type OperatorRecord,
  parseStored,
  type RecordRevision,
  type StoredRecord,
  type StoredValue,
  RECORDS_PREFIX,
} from '@jujubelanding/records';
import type { RecordKind } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { createConflictFault, createFault, createNotFoundFault, toUnavailable } from './faults.js';
import { HistoryStore } from './history.js';
import { AttemptStatus, RecordWriter } from './record-writer.js';

const PAGE_SIZE = 500;

export interface RecordsOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store' | 'createLog'>;
}

/** Parameters of a write besides the record itself. */
export interface WriteRequest {
  /** 0 if the record must not exist yet. */
  expectedRevision: number;
  author: string;
  /** Identifies retries of one write; generated if absent. */
  writeId?: string | undefined;
}

export interface RevisedRecord extends StoredRecord {
  revision: number;
}

/** A stored record that does not match its schema; named by its key, because its value is unusable. */
export interface InvalidRecord {
  name: string;
  revision: number;
}

export interface RecordListing {
  records: RevisedRecord[];
  invalid: InvalidRecord[];
}

/** Reads and writes operator records in the key-value service. */
export class RecordsController {
  private readonly log: Log;

  private readonly history: HistoryStore;

  private readonly writer: RecordWriter;

  private highestWritten = 0;

  constructor(private readonly options: RecordsOptions) {
    this.log = options.io.createLog('admin-api');
    this.history = new HistoryStore(options.io.store);
    this.writer = new RecordWriter(options.io, this.history);
  }

  /** Returns the highest revision that this VM has written. */
  writtenRevision(): number {
    return this.highestWritten;
  }

  async put(record: OperatorRecord, request: WriteRequest): Reply<RevisedRecord> {
    const stored = { ...record, ...this.createWriteMetadata(request) };
    const written = await this.write(stored, request.expectedRevision);
    return written.map((revision) => ({ ...stored, revision }));
  }

  async remove(kind: RecordKind, name: string, request: WriteRequest): Reply<number> {
    return this.write(
      { kind, name, deleted: true, ...this.createWriteMetadata(request) },
      request.expectedRevision,
    );
  }

  async get(kind: RecordKind, name: string): Reply<RevisedRecord> {
    const entry = await this.writer.read(kind, name);
    if (entry.isErr()) return err(entry.error);
    if (entry.value === undefined) return err(createNotFoundFault(kind, name));
    const stored = parseStored(entry.value.value);
    if (stored.isErr()) {
      const fields = stored.error.map(({ field }) => field).join(', ');
      const message = `the stored record does not match its schema: ${fields}`;
      return err(createFault(FaultCode.Corrupt, 'read-record', message));
    }
    if (isTombstone(stored.value)) return err(createNotFoundFault(kind, name));
    return ok({ ...stored.value, revision: entry.value.modRevision });
  }

  async list(kind: RecordKind): Reply<RecordListing> {
    const listing: RecordListing = { records: [], invalid: [] };
    const prefix = `${RECORDS_PREFIX}${kind}/`;
    for (let isLast = false, after: string | undefined; !isLast;) {
      const page = await this.options.io.store.list(prefix, PAGE_SIZE, after);
      if (page.isErr()) return err(toUnavailable(page.error, 'list-records'));
      const { entries } = page.value;
      entries.forEach((entry) => this.addToListing(listing, entry, prefix));
      after = entries.at(-1)?.key;
      isLast = entries.length < PAGE_SIZE;
    }
    return ok(listing);
  }

  /** Returns the revisions of a record, newest first. */
  async listHistory(kind: RecordKind, name: string): Reply<RecordRevision[]> {
    const entry = await this.writer.read(kind, name);
    if (entry.isErr()) return err(entry.error);
    if (entry.value === undefined) return err(createNotFoundFault(kind, name));
    const { value, modRevision } = entry.value;
    const earlier = await this.history.read(kind, name);
    if (earlier.isErr()) return err(toUnavailable(earlier.error, 'read-history'));
    const current = parseStored(value).map((stored) => ({ revision: modRevision, stored }));
    return ok([
      ...(current.isOk() ? [current.value] : []),
      // The history already contains the current revision while a write that replaces it is pending.
      ...earlier.value.filter(({ revision }) => revision < modRevision),
    ]);
  }

  private createWriteMetadata({ author, writeId }: WriteRequest) {
    const { random, timer } = this.options.io;
    return { writeId: writeId ?? random.createId(), author, time: timer.wallClock() };
  }

  private async write(stored: StoredValue, expectedRevision: number): Reply<number> {
    const revision = await this.writeIfExpected(stored, expectedRevision);
    const { kind, name, writeId, author } = stored;
    this.log.write('record-write', {
      kind,
      name,
      writeId,
      author,
      deleted: isTombstone(stored),
      expectedRevision,
      ...(revision.isOk()
        ? { revision: revision.value }
        : { code: revision.error.code, outcome: revision.error.outcome }),
    });
    if (revision.isOk()) this.highestWritten = Math.max(this.highestWritten, revision.value);
    return revision;
  }

  private async writeIfExpected(stored: StoredValue, expectedRevision: number): Reply<number> {
    const current = await this.writer.read(stored.kind, stored.name);
    if (current.isErr()) return err(current.error);
    const entry = current.value;
    const isAbsent =
      entry === undefined || parseStored(entry.value).map(isTombstone).unwrapOr(false);
    const currentRevision = entry?.modRevision ?? 0;
    const isExpected = expectedRevision === currentRevision || (isAbsent && expectedRevision === 0);
    if (!isExpected) return this.resolveMismatch(entry, stored, expectedRevision);
    if (isTombstone(stored) && isAbsent) return err(createNotFoundFault(stored.kind, stored.name));
    return this.writer.replace(entry, stored);
  }

  /**
   * Handles a write whose expected revision is not the current one: succeeds if an earlier attempt of
   * the same write was applied, otherwise returns a conflict.
   */
  private async resolveMismatch(
    entry: KeyValueEntry | undefined,
    stored: StoredValue,
    expectedRevision: number,
  ): Reply<number> {
    const found = await this.writer.findAttempt(entry, stored, expectedRevision);
    if (found.isErr()) return err(toUnavailable(found.error, 'read-history'));
    return found.value.status === AttemptStatus.Applied
      ? ok(found.value.revision)
      : err(createConflictFault(expectedRevision, entry?.modRevision ?? 0));
  }

  private addToListing(listing: RecordListing, entry: KeyValueEntry, prefix: string): void {
    const stored = parseStored(entry.value);
    const revision = entry.modRevision;
    if (stored.isErr()) listing.invalid.push({ name: entry.key.slice(prefix.length), revision });
    else if (!isTombstone(stored.value)) listing.records.push({ ...stored.value, revision });
  }
}
