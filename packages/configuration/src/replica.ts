/** Records held by this VM, and those of them that are not in force yet. */
import type { ConfigurationDelta, ReplicatedRecord } from '@jujubelanding/peer-protocol';

/** Records received together; a revision is put in force by whole batches. */
export interface Batch {
  revision: number;
  records: ReplicatedRecord[];
  /** Monotonic time of receipt. */
  heldAt: number;
}

export enum ApplyStatus {
  Applied = 'applied',
  Known = 'known',
  /** Records before the delta are missing. */
  Gap = 'gap',
}

const keyOf = ({ kind, name }: ReplicatedRecord): string => `${kind}/${name}`;

export class Replica {
  private readonly records = new Map<string, ReplicatedRecord>();

  /** Batches above the active revision, oldest first. */
  private pending: Batch[] = [];

  private held = 0;

  heldRevision(): number {
    return this.held;
  }

  pendingBatches(): readonly Batch[] {
    return this.pending;
  }

  /** Merges a delta by modification revision; the held revision never decreases. */
  apply({ afterRevision, revision, records }: ConfigurationDelta, now: number): ApplyStatus {
    if (revision <= this.held) return ApplyStatus.Known;
    if (afterRevision > this.held) return ApplyStatus.Gap;
    const newer = records.filter(
      (record) => record.revision > (this.records.get(keyOf(record))?.revision ?? 0),
    );
    newer.forEach((record) => this.records.set(keyOf(record), record));
    this.held = revision;
    this.pending.push({ revision, records: newer, heldAt: now });
    return ApplyStatus.Applied;
  }

  /** Returns everything changed after a revision. */
  deltaAfter(afterRevision: number): ConfigurationDelta {
    const records = [...this.records.values()].filter(({ revision }) => revision > afterRevision);
    return { afterRevision, revision: this.held, records };
  }

  /** Removes the batches up to a revision from the pending ones, to be put in force. */
  takeUpTo(revision: number): Batch[] {
    const taken = this.pending.filter((batch) => batch.revision <= revision);
    this.pending = this.pending.filter((batch) => batch.revision > revision);
    return taken;
  }
}
