/** Encoding of records in the key-value service. */
import type { RecordKind, RecordSpecs } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { convertToNewest, type Spec } from './conversion.js';
import { type FieldFault, type OperatorRecord, parseRecord } from './parse.js';

/** Key prefix of current records. */
export const RECORDS_PREFIX = 'records/';
/** Key prefix of earlier revisions. */
export const HISTORY_PREFIX = 'history/';

/** Metadata of a write. */
export interface WriteOrigin {
  /**
   * Unique per write, so that after a lost reply the writer can determine from the key whether it
   * succeeded.
   */
  writeId: string;
  author: string;
  /** Epoch milliseconds. */
  time: number;
}

export interface StoredRecord extends OperatorRecord, WriteOrigin {}

/** Marks a deleted record; kept so that replicas learn of the deletion. */
export interface Tombstone extends WriteOrigin {
  kind: RecordKind;
  name: string;
  deleted: true;
}

export type StoredValue = StoredRecord | Tombstone;

export const isTombstone = (stored: StoredValue): stored is Tombstone => 'deleted' in stored;

export const recordKey = (kind: string, name: string): string => `${RECORDS_PREFIX}${kind}/${name}`;

export const historyKey = (kind: string, name: string): string =>
  `${HISTORY_PREFIX}${kind}/${name}`;

/** Splits a record key into kind and name; undefined if it is not a record key. */
export const parseRecordKey = (key: string): { kind: string; name: string } | undefined => {
  const [kind, name, ...rest] = key.slice(RECORDS_PREFIX.length).split('/');
  if (!key.startsWith(RECORDS_PREFIX) || !kind || !name || rest.length > 0) return undefined;
  return { kind, name };
};

export const encodeStored = (stored: StoredValue): string => JSON.stringify(stored);

const parseJson = (value: string): unknown => {
  try {
    return JSON.parse(value);
  } catch {
    return undefined;
  }
};

/** Decodes a stored value; the spec keeps the schema version in which it was written. */
export const parseStored = (value: string): Result<StoredValue, FieldFault[]> => {
  const input = parseJson(value);
  if (typeof input !== 'object' || input === null) {
    return err([{ field: 'record', value: value.slice(0, 100), allowed: 'a JSON object' }]);
  }
  const { writeId, author, time, deleted, ...record } = input as Spec;
  const origin = { writeId: String(writeId), author: String(author), time: Number(time) };
  if (deleted === true) {
    const { kind, name } = record as unknown as Tombstone;
    return ok({ kind, name, deleted, ...origin });
  }
  return parseRecord(record).map((parsed) => ({ ...parsed, ...origin }));
};

/** Returns the spec of a stored record in the newest schema version. */
export const newestSpecOf = <K extends RecordKind>(
  stored: StoredRecord & { kind: K },
): RecordSpecs[K] => convertToNewest(stored.kind, stored.spec, stored.schemaVersion);

/** An earlier revision of a record. */
export interface RecordRevision {
  revision: number;
  stored: StoredValue;
}

/** Decodes the value of a history key; a corrupt value yields an empty history. */
export const parseHistory = (value: string | undefined): RecordRevision[] => {
  const parsed = value === undefined ? undefined : parseJson(value);
  return Array.isArray(parsed) ? (parsed as RecordRevision[]) : [];
};
