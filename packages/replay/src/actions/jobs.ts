/** Handlers of events in which callers submit, resend, cancel and read batch jobs. */
import type { ItemResult } from '@jujubelanding/types';
import { ReplyKind, type CallerReply } from '../caller.js';
import { createItemPrompt } from '../tags.js';
import type { EventKind, EventOf } from '../trace/events.js';
import type { SubmittedJob, ReplayHarness } from '../replay-harness.js';

const isSuccess = ({ kind, status }: CallerReply): boolean =>
  kind === ReplyKind.Answered && status < 300;

const createBody = (event: EventOf<EventKind.Submit>): string =>
  Array.from({ length: event.items }, (_, item) =>
    JSON.stringify({
      itemId: `item-${item}`,
      messages: [{ role: 'user', content: createItemPrompt(event, item) }],
      maxTokens: event.maxTokens,
    }),
  ).join('\n');

const sendJob = async (
  harness: ReplayHarness,
  name: string,
  via: string,
  job: SubmittedJob,
): Promise<void> => {
  const { model, key, dueInMs } = job.event;
  const due = dueInMs === undefined ? '' : `&dueInMs=${dueInMs}`;
  const reply = await harness.send(name, via, {
    method: 'POST',
    path: `/v1/batches?model=${model}${due}`,
    headers: { 'content-type': 'application/x-ndjson', 'idempotency-key': key },
    body: createBody(job.event),
  });
  if (isSuccess(reply)) job.id ??= (JSON.parse(reply.body) as { id: string }).id;
};

export const submit = (harness: ReplayHarness, event: EventOf<EventKind.Submit>): void => {
  const job: SubmittedJob = { event, results: new Map(), duplicates: 0, changes: 0 };
  harness.jobs.set(event.id, job);
  void sendJob(harness, event.id, event.via, job);
};

export const resend = (
  harness: ReplayHarness,
  { id, via, job }: EventOf<EventKind.Resend>,
): void => {
  void sendJob(harness, id, via, harness.jobs.get(job)!);
};

/** Returns the path of a job; a job that was not acknowledged has no id, so its path does not exist. */
const getJobPath = ({ id }: SubmittedJob): string => `/v1/batches/${id ?? 'unacknowledged'}`;

export const cancel = (
  harness: ReplayHarness,
  { id, via, job }: EventOf<EventKind.Cancel>,
): void => {
  const path = `${getJobPath(harness.jobs.get(job)!)}/cancel`;
  void harness.send(id, via, { method: 'POST', path, headers: {} });
};

/** Records results and counts those that appear twice or differ from the first version. */
const recordResults = (job: SubmittedJob, results: readonly ItemResult[]): void => {
  const seenIndexes = new Set<number>();
  for (const result of results) {
    if (seenIndexes.has(result.index)) job.duplicates += 1;
    seenIndexes.add(result.index);
    const text = JSON.stringify(result);
    const previous = job.results.get(result.index);
    if (previous !== undefined && previous !== text) job.changes += 1;
    if (previous === undefined) job.results.set(result.index, text);
  }
};

const fetchResults = async (
  harness: ReplayHarness,
  name: string,
  via: string,
  job: SubmittedJob,
): Promise<ItemResult[] | undefined> => {
  const path = `${getJobPath(job)}/results`;
  const reply = await harness.send(name, via, { method: 'GET', path, headers: {} });
  if (!isSuccess(reply)) return undefined;
  const results = reply.body
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as ItemResult);
  recordResults(job, results);
  return results;
};

export const readResults = (
  harness: ReplayHarness,
  { id, via, job }: EventOf<EventKind.ReadResults>,
): void => {
  void fetchResults(harness, id, via, harness.jobs.get(job)!);
};

/** Reads the status and results of a job after the end of the trace. */
export const readFinalState = async (
  harness: ReplayHarness,
  via: string,
  job: SubmittedJob,
): Promise<void> => {
  const { id } = job.event;
  const path = getJobPath(job);
  const reply = await harness.send(`end/${id}`, via, { method: 'GET', path, headers: {} });
  if (isSuccess(reply)) job.status = (JSON.parse(reply.body) as { status: string }).status;
  const results = await fetchResults(harness, `end/${id}/results`, via, job);
  if (results !== undefined) job.finalResults = results;
};
