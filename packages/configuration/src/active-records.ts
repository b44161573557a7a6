/** Active records, parsed and converted to the newest schema version. */
import type { ActiveRecord } from '@jujubelanding/interfaces';
import type { ReplicatedRecord } from '@jujubelanding/peer-protocol';
import {
  type FieldFault,
  isTombstone,
  newestSpecOf,
  parseStored,
  type StoredValue,
} from '@jujubelanding/records';
import { RecordKind } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';

/** A stored record that cannot be activated. */
export interface InvalidRecord {
  kind: string;
  name: string;
  revision: number;
  faults: FieldFault[];
}

type AnyRecord = ActiveRecord<RecordKind>;

/** Checks that a record is stored under its own kind and name. */
const checkKey = (
  stored: StoredValue,
  kind: string,
  name: string,
): Result<StoredValue, FieldFault[]> => {
  const isKnownKind = Object.values<string>(RecordKind).includes(kind);
  if (isKnownKind && String(stored.kind) === kind && stored.name === name) return ok(stored);
  const value = `${stored.kind}/${stored.name}`;
  return err([{ field: 'name', value, allowed: `${kind}/${name}, as in the key` }]);
};

export class ActiveRecords {
  private readonly byKind = new Map<RecordKind, Map<string, AnyRecord>>(
    Object.values(RecordKind).map((kind) => [kind, new Map()]),
  );

  private readonly sortedByKind = new Map<RecordKind, AnyRecord[]>();

  private readonly invalid = new Map<string, InvalidRecord>();

  /**
   * Activates a record. If it does not parse, the previous one stays active and the errors are
   * returned.
   */
  apply({ kind, name, revision, value }: ReplicatedRecord): InvalidRecord | undefined {
    const key = `${kind}/${name}`;
    this.invalid.delete(key);
    const parsed = parseStored(value).andThen((stored) => checkKey(stored, kind, name));
    if (parsed.isErr()) {
      const invalid = { kind, name, revision, faults: parsed.error };
      this.invalid.set(key, invalid);
      return invalid;
    }
    const records = this.byKind.get(parsed.value.kind)!;
    this.sortedByKind.delete(parsed.value.kind);
    if (isTombstone(parsed.value)) records.delete(name);
    else records.set(name, { name, revision, spec: newestSpecOf(parsed.value) });
    return undefined;
  }

  get<K extends RecordKind>(kind: K, name: string): ActiveRecord<K> | undefined {
    return this.byKind.get(kind)!.get(name) as ActiveRecord<K> | undefined;
  }

  /** Returns the records of a kind, sorted by name. */
  list<K extends RecordKind>(kind: K): ActiveRecord<K>[] {
    const cached = this.sortedByKind.get(kind);
    if (cached !== undefined) return cached as ActiveRecord<K>[];
    const sorted = [...this.byKind.get(kind)!.values()].toSorted((a, b) =>
      a.name < b.name ? -1 : 1,
    );
    this.sortedByKind.set(kind, sorted);
    return sorted as ActiveRecord<K>[];
  }

  listInvalid(): InvalidRecord[] {
    return [...this.invalid.values()];
  }
}
