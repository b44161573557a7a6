/** Lists the segments that job records refer to, for garbage collection. */
import type { Reply } from '@jujubelanding/errors';
import type { KeyValueStore } from '@jujubelanding/platform';
import type { JobRecord } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { decodeJob } from './codec.js';
import { JOB_PREFIX } from './keys.js';

/** Small, because a record can hold up to 1 MB. */
const PAGE_RECORDS = 16;

/** Lists the segments of a job that its record places on the given VM. */
export const listSegmentsOn = (job: JobRecord, entryVmId: string): string[] =>
  job.chunks
    .flatMap((chunk) => [chunk.input, chunk.result])
    .filter((segment) => segment?.copies.includes(entryVmId) === true)
    .map((segment) => segment!.id);

/** Creates the `listReferences` option of the segment store for one VM. */
export const createReferenceReader =
  (store: KeyValueStore, entryVmId: string) =>
  async (afterKey?: string): Reply<{ segmentIds: string[]; nextKey?: string }> => {
    const page = await store.list(JOB_PREFIX, PAGE_RECORDS, afterKey);
    if (page.isErr()) return err(page.error);
    const segmentIds: string[] = [];
    for (const { value } of page.value.entries) {
      // A record that can't be decoded may refer to any segment, so the whole pass fails.
      const job = decodeJob(value);
      if (job.isErr()) return err(job.error);
      segmentIds.push(...listSegmentsOn(job.value, entryVmId));
    }
    const last = page.value.entries.at(-1);
    const isLast = page.value.entries.length < PAGE_RECORDS || last === undefined;
    return ok({ segmentIds, ...(isLast ? {} : { nextKey: last.key }) });
  };
