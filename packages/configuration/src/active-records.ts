/** Records in force, parsed and converted to the newest schema version. */
import type { ActiveRecord } from '@jujubelanding/interfaces';
import type { ReplicatedRecord } from '@jujubelanding/peer-protocol';
import { type FieldFault, isTombstone, newestSpecOf, parseStored } from '@jujubelanding/records';
import { RecordKind } from '@jujubelanding/types';

/** A stored record that cannot be put in force. */
export interface InvalidRecord {
  kind: string;
  name: string;
  revision: number;
  faults: FieldFault[];
}

type AnyRecord = ActiveRecord<RecordKind>;

export class ActiveRecords {
  private readonly byKind = new Map<RecordKind, Map<string, AnyRecord>>(
    Object.values(RecordKind).map((kind) => [kind, new Map()]),
  );

  private readonly lists = new Map<RecordKind, AnyRecord[]>();

  private readonly invalid = new Map<string, InvalidRecord>();

  /** Puts a record in force; one that does not parse leaves the former one in force. */
  apply({ kind, name, revision, value }: ReplicatedRecord): InvalidRecord | undefined {
    const key = `${kind}/${name}`;
    this.invalid.delete(key);
    const parsed = parseStored(value);
    const records = this.byKind.get(kind as RecordKind);
    if (parsed.isErr() || records === undefined) {
      const unknownKind = { field: 'kind', value: kind, allowed: Object.values(RecordKind).join() };
      const faults = parsed.isErr() ? parsed.error : [unknownKind];
      const invalid = { kind, name, revision, faults };
      this.invalid.set(key, invalid);
      return invalid;
    }
    this.lists.delete(kind as RecordKind);
    if (isTombstone(parsed.value)) records.delete(name);
    else records.set(name, { name, revision, spec: newestSpecOf(parsed.value) });
    return undefined;
  }

  get<K extends RecordKind>(kind: K, name: string): ActiveRecord<K> | undefined {
    return this.byKind.get(kind)!.get(name) as ActiveRecord<K> | undefined;
  }

  /** Records of a kind, ordered by name. */
  list<K extends RecordKind>(kind: K): ActiveRecord<K>[] {
    const known = this.lists.get(kind);
    if (known !== undefined) return known as ActiveRecord<K>[];
    const sorted = [...this.byKind.get(kind)!.values()].toSorted((a, b) =>
      a.name < b.name ? -1 : 1,
    );
    this.lists.set(kind, sorted);
    return sorted as ActiveRecord<K>[];
  }

  listInvalid(): InvalidRecord[] {
    return [...this.invalid.values()];
  }
}
