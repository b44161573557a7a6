/** Records held by this VM, including those that are not active yet. */
import type { ConfigurationDelta, ReplicatedRecord } from '@jujubelanding/peer-protocol';
import { parseStored } from '@jujubelanding/records';

/** Records received together; only whole batches are activated. */
export interface RecordBatch {
  revision: number;
  records: ReplicatedRecord[];
  /** Monotonic time of receipt. */
  heldAt: number;
}

export enum ApplyStatus {
  Applied = 'applied',
  /** Not applied, because this VM already holds the revision. */
  AlreadyHeld = 'known',
  /** Not applied, because records before the delta are missing. */
  Gap = 'gap',
}

const recordKeyOf = ({ kind, name }: ReplicatedRecord): string => `${kind}/${name}`;

export class Replica {
  private readonly records = new Map<string, ReplicatedRecord>();

  /** Batches above the active revision, oldest first. */
  private pending: RecordBatch[] = [];

  /** Last valid version of records whose newest version does not parse. */
  private readonly former = new Map<string, ReplicatedRecord>();

  private held = 0;

  heldRevision(): number {
    return this.held;
  }

  pendingBatches(): readonly RecordBatch[] {
    return this.pending;
  }

  /** Merges a delta by modification revision; the held revision never decreases. */
  apply({ afterRevision, revision, records }: ConfigurationDelta, now: number): ApplyStatus {
    if (revision <= this.held) return ApplyStatus.AlreadyHeld;
    if (afterRevision > this.held) return ApplyStatus.Gap;
    const newer = records.filter(
      (record) => record.revision > (this.records.get(recordKeyOf(record))?.revision ?? 0),
    );
    newer.forEach((record) => this.put(record));
    this.held = revision;
    this.pending.push({ revision, records: newer, heldAt: now });
    return ApplyStatus.Applied;
  }

  /** Returns all records changed after a revision. */
  deltaAfter(afterRevision: number): ConfigurationDelta {
    const records = [...this.records.values()]
      .filter(({ revision }) => revision > afterRevision)
      .flatMap((record) => {
        const lastValid = this.former.get(recordKeyOf(record));
        return lastValid === undefined ? [record] : [lastValid, record];
      });
    return { afterRevision, revision: this.held, records };
  }

  /** Removes and returns the pending batches up to a revision, to be activated. */
  takeUpTo(revision: number): RecordBatch[] {
    const taken = this.pending.filter((batch) => batch.revision <= revision);
    this.pending = this.pending.filter((batch) => batch.revision > revision);
    return taken;
  }

  /**
   * Keeps the last valid version of a record that does not parse, so that a restarted VM activates
   * it too.
   */
  private put(record: ReplicatedRecord): void {
    const key = recordKeyOf(record);
    const before = this.records.get(key);
    this.records.set(key, record);
    if (parseStored(record.value).isOk()) this.former.delete(key);
    else if (before !== undefined && parseStored(before.value).isOk()) this.former.set(key, before);
  }
}
