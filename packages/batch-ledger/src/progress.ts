/**
 * What has arrived of unfinished items, stored in parts. The pattern is the loss of all entry VMs at once:
 * items run for seconds, and those that start again from nothing are late. Each part has only the events
 * since the one before, so that the text of an item is written once.
 */
import * as z from 'zod';
import { decodeWith, SCHEMA_VERSION } from './job.js';

/** What has arrived of an unfinished item. */
export interface ItemProgress {
  /** Data of the events so far. */
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
      /** Number of events in earlier parts. */
      from: z.number(),
      events: z.array(z.string()),
      lastEventId: z.string().optional(),
      failures: z.number(),
    }),
  ),
});

export type ProgressDelta = z.infer<typeof deltaSchema>;

export const decodeDelta = decodeWith<ProgressDelta>(deltaSchema);

/** Joins parts in their order; an item ends where a part of it is missing. */
export const mergeDeltas = (parts: readonly ProgressDelta[]): JobProgress => {
  const joined: JobProgress = {};
  for (const { items } of parts) {
    for (const [index, { from, events, lastEventId, failures }] of Object.entries(items)) {
      const known = joined[index] ?? { events: [], failures: 0 };
      const isNext = from === known.events.length;
      joined[index] = {
        events: isNext ? [...known.events, ...events] : known.events,
        lastEventId: isNext ? (lastEventId ?? known.lastEventId) : known.lastEventId,
        failures: Math.max(known.failures, failures),
      };
    }
  }
  return joined;
};

interface StoredCounts {
  events: number;
  failures: number;
}

const NOTHING_STORED: StoredCounts = { events: 0, failures: 0 };

/** Knows what is stored of a job's items and makes parts of the rest. */
export class ProgressDeltaBuilder {
  private readonly stored = new Map<string, StoredCounts>();

  /** Number of the next part. */
  sequence: number;

  constructor(progress: JobProgress = {}, sequence = 0) {
    this.sequence = sequence;
    this.recordStored(progress);
  }

  /** Returns what is new; undefined if nothing is. */
  create(progress: JobProgress): ProgressDelta | undefined {
    const items: ProgressDelta['items'] = {};
    for (const [index, { events, lastEventId, failures }] of Object.entries(progress)) {
      const { events: from, failures: known } = this.stored.get(index) ?? NOTHING_STORED;
      if (events.length > from || failures > known) {
        items[index] = { from, events: events.slice(from), lastEventId, failures };
      }
    }
    return Object.keys(items).length === 0 ? undefined : { schemaVersion: SCHEMA_VERSION, items };
  }

  /** Notes that the next part is stored. */
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
