/** Writes records by compare-and-swap; the write id determines the outcome after a lost reply. */
import { type Fault, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import { type KeyValueEntry, type KeyValueWrite, WriteStatus } from '@jujubelanding/platform';
import {
  encodeStored,
  parseStored,
  recordKey,
  type RecordRevision,
  type StoredValue,
} from '@jujubelanding/records';
import { err, ok } from 'neverthrow';
import { createConflictFault, createFault, toUnavailable, toOutcomeUnknown } from './faults.js';
import { type HistoryStore, MIN_HISTORY_REVISIONS } from './history.js';

/** Retries of a write whose reply was lost. */
const RESOLVE_ATTEMPTS = 4;
const RESOLVE_DELAY_MS = 100;

const getWriteId = (entry: KeyValueEntry | undefined): string | undefined =>
  entry === undefined
    ? undefined
    : parseStored(entry.value)
        .map(({ writeId }) => writeId)
        .unwrapOr(undefined);

const toRevision = ({ value, modRevision }: KeyValueEntry): RecordRevision | undefined =>
  parseStored(value)
    .map((stored) => ({ revision: modRevision, stored }))
    .unwrapOr(undefined);

export enum AttemptStatus {
  Applied = 'applied',
  NotApplied = 'not-applied',
  /** The history no longer covers the time of the attempt. */
  Unknown = 'unknown',
}

export type WriteAttempt =
  | { status: AttemptStatus.Applied; revision: number }
  | { status: AttemptStatus.NotApplied | AttemptStatus.Unknown };

/** True if the history contains all revisions since the expected one. */
const containsAllSince = (history: readonly RecordRevision[], expectedRevision: number): boolean =>
  history.length < MIN_HISTORY_REVISIONS ||
  history.some(({ revision }) => revision <= expectedRevision);

export class RecordWriter {
  constructor(
    private readonly io: Pick<EntryVmIo, 'timer' | 'store'>,
    private readonly history: HistoryStore,
  ) {}

  /** Reads the stored entry of a record; it may be a tombstone. */
  async read(kind: string, name: string): Reply<KeyValueEntry | undefined> {
    const entry = await this.io.store.get(recordKey(kind, name));
    return entry.mapErr((fault) => toUnavailable(fault, 'read-record'));
  }

  /**
   * Replaces the entry that was read and returns the new revision. The history is written first; only
   * the compare-and-swap on the record decides whether the write succeeds.
   */
  async replace(current: KeyValueEntry | undefined, stored: StoredValue): Reply<number> {
    const replaced = current === undefined ? undefined : toRevision(current);
    if (replaced !== undefined) {
      const appended = await this.history.append(stored.kind, stored.name, replaced);
      if (appended.isErr()) return err(appended.error);
    }
    const write: KeyValueWrite = {
      key: recordKey(stored.kind, stored.name),
      value: encodeStored(stored),
      expectedRevision: current?.modRevision ?? 0,
    };
    const written = await this.io.store.write(write);
    if (written.isErr()) {
      if (written.error.outcome === Outcome.OutcomeUnknown) {
        return this.resolveLostReply(write, stored, written.error);
      }
      return err(this.toRefusal(written.error));
    }
    if (written.value.status === WriteStatus.Written) return ok(written.value.revision);
    return err(
      createConflictFault(write.expectedRevision, written.value.current?.modRevision ?? 0),
    );
  }

  /** Determines whether an earlier attempt of the same write was applied. */
  async findAttempt(
    current: KeyValueEntry | undefined,
    { kind, name, writeId }: Pick<StoredValue, 'kind' | 'name' | 'writeId'>,
    expectedRevision: number,
  ): Reply<WriteAttempt> {
    if (current !== undefined && getWriteId(current) === writeId) {
      return ok({ status: AttemptStatus.Applied, revision: current.modRevision });
    }
    const history = await this.history.read(kind, name);
    return history.map((revisions) => {
      // A later write adds the revision that it replaces to the history first.
      const applied = revisions.find(({ stored }) => stored.writeId === writeId);
      if (applied !== undefined) {
        return { status: AttemptStatus.Applied, revision: applied.revision };
      }
      return containsAllSince(revisions, expectedRevision)
        ? { status: AttemptStatus.NotApplied }
        : { status: AttemptStatus.Unknown };
    });
  }

  /**
   * Retries a write whose reply was lost. Reading the key would not be enough: if it is unchanged, the
   * first attempt may still be in transit. Retrying with the same expected revision is safe, because at
   * most one of the attempts can be applied.
   */
  private async resolveLostReply(
    write: KeyValueWrite,
    stored: StoredValue,
    first: Fault,
  ): Reply<number> {
    for (let attempt = 1; attempt <= RESOLVE_ATTEMPTS; attempt += 1) {
      await this.io.timer.sleep(RESOLVE_DELAY_MS * attempt);
      const repeated = await this.io.store.write(write);
      if (repeated.isErr()) continue;
      if (repeated.value.status === WriteStatus.Written) return ok(repeated.value.revision);
      const { current } = repeated.value;
      const found = await this.findAttempt(current, stored, write.expectedRevision);
      if (found.isErr()) continue;
      if (found.value.status === AttemptStatus.Applied) return ok(found.value.revision);
      if (found.value.status === AttemptStatus.Unknown) break;
      return err(createConflictFault(write.expectedRevision, current?.modRevision ?? 0));
    }
    return err(toOutcomeUnknown(first, 'write-record'));
  }

  private toRefusal(fault: Fault): Fault {
    return fault.code === FaultCode.TooLarge
      ? createFault(FaultCode.TooLarge, 'write-record', fault.message)
      : toUnavailable(fault, 'write-record');
  }
}
