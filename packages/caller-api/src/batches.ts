/** Batch jobs: submission, state, cancellation and results. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import type { JobSubmission } from '@jujubelanding/interfaces';
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
import { IDEMPOTENCY_KEY_HEADER, MAX_KEY_LENGTH } from './middleware.js';
import { toJobView } from './job-view.js';
import { InputError, checkInput, readChunks } from './request-body.js';
import { rangeSchema } from './schemas.js';
import { resolveSubmission } from './submission.js';

const NDJSON_TYPE = 'application/x-ndjson';

const openBatchInput = async (exchange: RequestContext): Promise<BatchInput> => {
  const chunks = readChunks(exchange.req.raw);
  const { maxBodyBytes } = exchange.get('team').spec;
  const type = exchange.req.header('content-type') ?? '';
  if (type.startsWith('application/json')) return openJsonBody(chunks, maxBodyBytes);
  const fields = parseQueryFields(exchange.req.query());
  return { fields, items: splitLines(chunks, maxBodyBytes) };
};

const readIdempotencyKey = (
  options: CallerApiOptions,
  exchange: RequestContext,
): Result<string, Fault> => {
  const key = exchange.req.header(IDEMPOTENCY_KEY_HEADER) ?? options.io.random.createId();
  if (key !== '' && key.length <= MAX_KEY_LENGTH) return ok(key);
  const message = `header ${IDEMPOTENCY_KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`;
  return err(createRefusal(FaultCode.InvalidInput, 'headers', message));
};

/** Prepares a submission; a rejected item is kept, since a store may report it in its own way. */
const prepareSubmission = async (
  options: CallerApiOptions,
  exchange: RequestContext,
  onRejection: (fault: Fault) => void,
): Promise<Result<JobSubmission, Fault>> => {
  const key = readIdempotencyKey(options, exchange);
  if (key.isErr()) return err(key.error);
  const team = exchange.get('team');
  const input = await openBatchInput(exchange);
  const resolved = resolveSubmission(options, team.name, input.fields);
  if (resolved.isErr()) return err(resolved.error);
  const { maxTokens, ...submission } = resolved.value;
  const bounds = { maxItems: team.spec.maxJobItems, maxTokens };
  async function* reportRejections() {
    try {
      yield* readItems(input.items, bounds);
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

const submit = async (options: CallerApiOptions, exchange: RequestContext): Promise<Response> => {
  let rejection: Fault | undefined;
  try {
    const submission = await prepareSubmission(options, exchange, (fault) => {
      rejection = fault;
    });
    if (submission.isErr()) return respondFault(exchange, submission.error);
    const submitted = await options.batchJobs.submit(submission.value);
    if (rejection !== undefined) return respondFault(exchange, rejection);
    if (submitted.isErr()) return respondFault(exchange, submitted.error);
    const { job, resent } = submitted.value;
    exchange.header(IDEMPOTENCY_KEY_HEADER, job.idempotencyKey);
    return exchange.json({ ...toJobView(job), resent }, resent ? 200 : 201);
  } catch (thrown) {
    if (rejection !== undefined) return respondFault(exchange, rejection);
    if (thrown instanceof InputError) return respondFault(exchange, thrown.fault);
    throw thrown;
  }
};

/** Finds a job of the caller's team; those of other teams do not exist for it. */
const findJob = async (
  options: CallerApiOptions,
  exchange: RequestContext,
): Promise<Result<JobRecord, Fault>> => {
  const id = exchange.req.param('id') ?? '';
  const found = await options.batchJobs.get(id);
  if (found.isErr()) return err(found.error);
  if (found.value.team === exchange.get('team').name) return ok(found.value);
  return err(createRefusal(FaultCode.NotFound, 'jobs', `job ${id} is not known`));
};

/** Streams results as lines; a failure breaks the response off, so that it isn't taken for complete. */
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
  exchange: RequestContext,
): Promise<Response> => {
  const range = checkInput(exchange.req.query(), rangeSchema);
  if (range.isErr()) return respondFault(exchange, range.error);
  const job = await findJob(options, exchange);
  if (job.isErr()) return respondFault(exchange, job.error);
  const { from = 0, to = job.value.itemCount } = range.value;
  const results = options.batchJobs.readResults(job.value.id, from, to)[Symbol.asyncIterator]();
  const body = streamResults(results);
  return new Response(body, { headers: { 'content-type': NDJSON_TYPE } });
};

const list = async (options: CallerApiOptions, exchange: RequestContext): Promise<Response> => {
  const jobs = await options.batchJobs.list(exchange.get('team').name);
  if (jobs.isErr()) return respondFault(exchange, jobs.error);
  return exchange.json({ jobs: jobs.value.map(toJobView) });
};

const show = async (options: CallerApiOptions, exchange: RequestContext): Promise<Response> => {
  const job = await findJob(options, exchange);
  return job.isErr() ? respondFault(exchange, job.error) : exchange.json(toJobView(job.value));
};

const cancel = async (options: CallerApiOptions, exchange: RequestContext): Promise<Response> => {
  const job = await findJob(options, exchange);
  if (job.isErr()) return respondFault(exchange, job.error);
  const cancelled = await options.batchJobs.cancel(job.value.id);
  if (cancelled.isErr()) return respondFault(exchange, cancelled.error);
  return exchange.json(toJobView(cancelled.value));
};

type Handler = (exchange: RequestContext) => Promise<Response>;

export interface BatchHandlers {
  submit: Handler;
  list: Handler;
  show: Handler;
  cancel: Handler;
  readResults: Handler;
}

export const createBatchHandlers = (options: CallerApiOptions): BatchHandlers => ({
  submit: (exchange) => submit(options, exchange),
  list: (exchange) => list(options, exchange),
  show: (exchange) => show(options, exchange),
  cancel: (exchange) => cancel(options, exchange),
  readResults: (exchange) => readResults(options, exchange),
});
