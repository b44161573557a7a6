/** Checks of batch jobs. */
import { computeChecksum } from '@jujubelanding/random';
import { ItemStatus, type ItemResult } from '@jujubelanding/types';
import { ReplyKind } from '../caller.js';
import type { EventKind, EventOf } from '../trace/events.js';
import type { ExpectationKind, ExpectationOf } from '../trace/expectations.js';
import type { ReplayHarness } from '../replay-harness.js';
import { compareFields, compareUpperBound, type Difference } from './difference.js';

/** Computes a digest of the index, status and text of all results of a job. */
export const digestResults = (
  results: readonly Pick<ItemResult, 'index' | 'status' | 'text'>[],
): string =>
  computeChecksum(
    JSON.stringify(
      results
        .toSorted((a, b) => a.index - b.index)
        .map(({ index, status, text }) => [index, status, text ?? null]),
    ),
  );

export const checkJobEnd = (
  harness: ReplayHarness,
  expectation: ExpectationOf<ExpectationKind.JobEnd>,
): Difference | undefined => {
  const { event, status, succeeded, failed, duplicates, textDigest } = expectation;
  const job = harness.jobs.get(event)!;
  const results = job.finalResults ?? [];
  const count = (wanted: ItemStatus): number =>
    results.filter((result) => result.status === wanted).length;
  return compareFields(
    { status, succeeded, failed, duplicates, changes: 0, textDigest },
    {
      status: job.status ?? 'unknown',
      succeeded: count(ItemStatus.Succeeded),
      failed: count(ItemStatus.Failed),
      duplicates: job.duplicates,
      changes: job.changes,
      textDigest: digestResults(results),
    },
  );
};

/** Checks that at least two submissions were acknowledged, and all of those with the same job id. */
export const checkSameJob = (
  harness: ReplayHarness,
  { events }: ExpectationOf<ExpectationKind.SameJob>,
): Difference | undefined => {
  const ids = events
    .map((event) => harness.replies.get(event)!)
    .filter(({ kind, status }) => kind === ReplyKind.Answered && status < 300)
    .map(({ body }) => (JSON.parse(body) as { id: string }).id);
  return compareFields(
    { jobs: 1, isRepeated: true },
    { jobs: new Set(ids).size, isRepeated: ids.length > 1 },
  );
};

/** Checks the time from the acknowledgement of a cancel to the last dispatch and stream end of its job. */
export const checkCancelBound = (
  harness: ReplayHarness,
  { event, limitMs }: ExpectationOf<ExpectationKind.CancelBound>,
): Difference | undefined => {
  const { kind, status, endedAt } = harness.replies.get(event)!;
  if (kind !== ReplyKind.Answered || status >= 300) {
    return compareFields({ acknowledged: true }, { acknowledged: false });
  }
  const { job } = harness.events.get(event) as EventOf<EventKind.Cancel>;
  const delays = harness.observer.dispatches
    .filter((dispatch) => dispatch.job === job)
    .map((dispatch) => Math.max(dispatch.at, dispatch.endedAt ?? Infinity) - endedAt!);
  return compareUpperBound('lastBatchWorkMs', limitMs, Math.max(0, ...delays));
};
