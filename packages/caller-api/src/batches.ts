/** Route handlers for batch jobs: submission, status, cancellation and results. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import type { JobSubmission } from '@jujubelanding/interfaces';
import type { StreamedBody } from '@jujubelanding/memory-budget';
import type { ItemResult, JobRecord } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import {
  openJsonBody,
  parseQueryFields,
  readItems,
  splitLines,
  type BatchInput,
} from './batch-input.js';
import {
  createRefusal,
  respondFault,
  type CallerApiOptions,
  type RequestContext,
} from './request-context.js';
import { respondUnread } from './limit-body.js';
import { IDEMPOTENCY_KEY_HEADER, MAX_KEY_LENGTH } from './middleware.js';
import { toJobView } from './job-view.js';
import { InputError, checkInput, readChunks } from './request-body.js';
import { rangeSchema } from './schemas.js';
import { resolveSubmission } from './submission.js';

const NDJSON_TYPE = 'application/x-ndjson';

const openBatchInput = async (
  context: RequestContext,
  body: StreamedBody | undefined,
): Promise<BatchInput> => {
  const chunks = readChunks(context.req.raw, body);
  const { maxBodyBytes } = context.get('team').spec;
  const type = context.req.header('content-type') ?? '';
  if (type.startsWith('application/json')) return openJsonBody(chunks, maxBodyBytes);
  const fields = parseQueryFields(context.req.query());
  return { fields, items: splitLines(chunks, maxBodyBytes) };
};

const readIdempotencyKey = (
  options: CallerApiOptions,
  context: RequestContext,
): Result<string, Fault> => {
  const key = context.req.header(IDEMPOTENCY_KEY_HEADER) ?? options.io.random.createId();
  if (key !== '' && key.length <= MAX_KEY_LENGTH) return ok(key);
  const message = `header ${IDEMPOTENCY_KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`;
  return err(createRefusal(FaultCode.InvalidInput, 'headers', message));
};

/**
 * Prepares a submission. The fault of an invalid item is passed to `onRejection`, because the store
 * that reads the items may report the failure as a fault of its own.
 */
const prepareSubmission = async (
  options: CallerApiOptions,
  context: RequestContext,
  body: StreamedBody | undefined,
  onRejection: (fault: Fault) => void,
): Promise<Result<JobSubmission, Fault>> => {
  const key = readIdempotencyKey(options, context);
  if (key.isErr()) return err(key.error);
  const team = context.get('team');
  const input = await openBatchInput(context, body);
  const resolved = resolveSubmission(options, team.name, input.fields);
  if (resolved.isErr()) return err(resolved.error);
  const { maxTokens, ...submission } = resolved.value;
  const bounds = { maxItems: team.spec.maxJobItems, maxTokens };
  async function* reportRejections() {
    try {
      for await (const item of readItems(input.items, bounds)) {
        body?.completeItem();
        yield item;
      }
    } catch (thrown) {
      if (thrown instanceof InputError) onRejection(thrown.fault);
      throw thrown;
    }
  }
  return ok({
    ...submission,
    team: team.name,
    idempotencyKey: key.value,
    items: reportRejections(),
    maxItems: bounds.maxItems,
  });
};

const submitBody = async (
  options: CallerApiOptions,
  context: RequestContext,
  body: StreamedBody | undefined,
): Promise<Response> => {
  let rejection: Fault | undefined;
  try {
    const submission = await prepareSubmission(options, context, body, (fault) => {
      rejection = fault;
    });
    if (submission.isErr()) return respondFault(context, submission.error);
    const submitted = await options.batchJobs.submit(submission.value);
    if (rejection !== undefined) return respondFault(context, rejection);
    if (submitted.isErr()) return respondFault(context, submitted.error);
    const { job, resent } = submitted.value;
    context.header(IDEMPOTENCY_KEY_HEADER, job.idempotencyKey);
    return context.json({ ...toJobView(job), resent }, resent ? 200 : 201);
  } catch (thrown) {
    if (rejection !== undefined) return respondFault(context, rejection);
    if (thrown instanceof InputError) return respondFault(context, thrown.fault);
    throw thrown;
  }
};

const submit = async (options: CallerApiOptions, context: RequestContext): Promise<Response> => {
  const { bodies, outgoing } = context.env ?? {};
  if (bodies === undefined || outgoing === undefined) {
    return submitBody(options, context, undefined);
  }
  const body = bodies.open();
  try {
    const response = await submitBody(options, context, body);
    const { refusal } = body;
    // The job is not stored before the end of its body, and a refused body has none.
    if (refusal === undefined) return response;
    return await respondUnread(options, context, outgoing, refusal);
  } finally {
    body.close();
  }
};

/** Finds a job of the caller's team; a job of another team is reported as not found. */
const findJob = async (
  options: CallerApiOptions,
  context: RequestContext,
): Promise<Result<JobRecord, Fault>> => {
  const id = context.req.param('id') ?? '';
  const found = await options.batchJobs.get(id);
  if (found.isErr()) return err(found.error);
  if (found.value.team === context.get('team').name) return ok(found.value);
  return err(createRefusal(FaultCode.NotFound, 'jobs', `job ${id} is not known`));
};

/** Streams results as lines; a failure aborts the response, so that it cannot pass for complete. */
const streamResults = (results: AsyncIterator<ItemResult>): ReadableStream<Uint8Array> => {
  const encoder = new TextEncoder();
  return new ReadableStream<Uint8Array>({
    pull: async (controller) => {
      const { done, value } = await results.next();
      if (done === true) controller.close();
      else controller.enqueue(encoder.encode(`${JSON.stringify(value)}\n`));
    },
    cancel: async () => {
      await results.return?.();
    },
  });
};

const readResults = async (
  options: CallerApiOptions,
  context: RequestContext,
): Promise<Response> => {
  const range = checkInput(context.req.query(), rangeSchema);
  if (range.isErr()) return respondFault(context, range.error);
  const job = await findJob(options, context);
  if (job.isErr()) return respondFault(context, job.error);
  const { from = 0, to = job.value.itemCount } = range.value;
  const results = options.batchJobs.readResults(job.value.id, from, to)[Symbol.asyncIterator]();
  const body = streamResults(results);
  return new Response(body, { headers: { 'content-type': NDJSON_TYPE } });
};

const list = async (options: CallerApiOptions, context: RequestContext): Promise<Response> => {
  const jobs = await options.batchJobs.list(context.get('team').name);
  if (jobs.isErr()) return respondFault(context, jobs.error);
  return context.json({ jobs: jobs.value.map(toJobView) });
};

const show = async (options: CallerApiOptions, context: RequestContext): Promise<Response> => {
  const job = await findJob(options, context);
  return job.isErr() ? respondFault(context, job.error) : context.json(toJobView(job.value));
};

const cancel = async (options: CallerApiOptions, context: RequestContext): Promise<Response> => {
  const job = await findJob(options, context);
  if (job.isErr()) return respondFault(context, job.error);
  const cancelled = await options.batchJobs.cancel(job.value.id);
  if (cancelled.isErr()) return respondFault(context, cancelled.error);
  return context.json(toJobView(cancelled.value));
};

type Handler = (context: RequestContext) => Promise<Response>;

export interface BatchHandlers {
  submit: Handler;
  list: Handler;
  show: Handler;
  cancel: Handler;
  readResults: Handler;
}

export const createBatchHandlers = (options: CallerApiOptions): BatchHandlers => ({
  submit: (context) => submit(options, context),
  list: (context) => list(options, context),
  show: (context) => show(options, context),
  cancel: (context) => cancel(options, context),
  readResults: (context) => readResults(options, context),
});
