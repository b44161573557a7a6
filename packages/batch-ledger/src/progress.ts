/**
 * Progress of unfinished items, stored as a sequence of deltas. It covers the loss of all entry VMs at
 * once: items run for seconds, and items that start over miss their due time. Each delta holds only the
 * events since the previous one, so that the text of an item is written once.
 */
import * as z from 'zod';
import { decodeWith, SCHEMA_VERSION } from './job.js';

/** Events of an unfinished item that have arrived, and its failed runs. */
export interface ItemProgress {
  /** Data of the events received so far. */
  events: string[];
  lastEventId?: string | undefined;
  failures: number;
}

/** Progress of unfinished items by index. */
export type JobProgress = Record<string, ItemProgress>;

const deltaSchema = z.object({
  schemaVersion: z.literal(SCHEMA_VERSION),
  items: z.record(
    z.string(),
    z.object({
      /** Number of events in earlier deltas. */
      from: z.number(),
      events: z.array(z.string()),
      lastEventId: z.string().optional(),
      failures: z.number(),
    }),
  ),
});

export type ProgressDelta = z.infer<typeof deltaSchema>;

export const decodeDelta = decodeWith<ProgressDelta>(deltaSchema);

/** Merges deltas in order; the events of an item end where one of its deltas is missing. */
export const mergeDeltas = (deltas: readonly ProgressDelta[]): JobProgress => {
  const mergedItems: JobProgress = {};
  for (const { items } of deltas) {
    for (const [index, { from, events, lastEventId, failures }] of Object.entries(items)) {
      const merged = mergedItems[index] ?? { events: [], failures: 0 };
      const isNext = from === merged.events.length;
      mergedItems[index] = {
        events: isNext ? [...merged.events, ...events] : merged.events,
        lastEventId: isNext ? (lastEventId ?? merged.lastEventId) : merged.lastEventId,
        failures: Math.max(merged.failures, failures),
      };
    }
  }
  return mergedItems;
};

/** True if the progress is the stored one, or goes on after it. */
export const continuesProgress = (progress: ItemProgress, stored: ItemProgress): boolean =>
  stored.events.every((data, index) => progress.events[index] === data);

interface StoredCounts {
  events: number;
  failures: number;
}

const NOTHING_STORED: StoredCounts = { events: 0, failures: 0 };

/** Tracks which progress of a job's items is stored, and builds deltas of the rest. */
export class ProgressDeltaBuilder {
  private readonly stored = new Map<string, StoredCounts>();

  /** Sequence number of the next delta. */
  sequence: number;

  constructor(progress: JobProgress = {}, sequence = 0) {
    this.sequence = sequence;
    this.recordStored(progress);
  }

  /** Returns the progress that is not stored yet; undefined if there is none. */
  create(progress: JobProgress): ProgressDelta | undefined {
    const items: ProgressDelta['items'] = {};
    for (const [index, { events, lastEventId, failures }] of Object.entries(progress)) {
      const { events: from, failures: storedFailures } = this.stored.get(index) ?? NOTHING_STORED;
      if (events.length > from || failures > storedFailures) {
        items[index] = { from, events: events.slice(from), lastEventId, failures };
      }
    }
    return Object.keys(items).length === 0 ? undefined : { schemaVersion: SCHEMA_VERSION, items };
  }

  /** Records that the delta with the next sequence number is stored. */
  markStored({ items }: ProgressDelta): void {
    this.sequence += 1;
    for (const [index, { from, events, failures }] of Object.entries(items)) {
      this.stored.set(index, { events: from + events.length, failures });
    }
  }

  private recordStored(progress: JobProgress): void {
    for (const [index, { events, failures }] of Object.entries(progress)) {
      this.stored.set(index, { events: events.length, failures });
    }
  }
}
