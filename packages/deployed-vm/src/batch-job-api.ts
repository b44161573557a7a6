/** Operations on batch jobs that callers request: submit, read results, read item bodies and end. */
import {
  createQuotaId,
  EndStatus,
  SCHEMA_VERSION,
  SubmitStatus,
  type ItemRequests,
  type JobStore,
  type ResultPage,
  type ResultReader,
  type SubmittedJob,
} from '@jujubelanding/batch-ledger';
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { CallerIdentity } from '@jujubelanding/gateway';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import { STOP_STEP, type Admission } from '@jujubelanding/planned-stop';
import type { Route } from '@jujubelanding/route-table';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';

export interface JobSubmission {
  jobId: string;
  host: string;
  target: string;
  items: SubmittedJob['items'];
  caller: CallerIdentity;
  /** Version of the configuration that contains the route. */
  configurationVersion: number;
}

/** Due time and item lifetime of routes that do not configure them, in milliseconds. */
const DEFAULT_DUE_MS = 60_000;

/** Time reserved for sending the response to the caller. */
const RESPONSE_RESERVE_MS = 150;

/** Maximum time of a call about a job, apart from the wait that it asks for. */
const CALL_MS = 2000;

export interface BatchJobApiOptions {
  timer: Timer;
  log: Log;
  metrics: Metrics;
  jobs: JobStore;
  reader: ResultReader;
  requests: Pick<ItemRequests, 'read'>;
  acknowledgeMs: number;
  admission: Pick<Admission, 'refuse' | 'recordDuration'>;
}

const createNotFound = (step: string, message: string): Fault => ({
  code: FaultCode.NotFound,
  outcome: Outcome.NotRun,
  step,
  message,
});

export class BatchJobApi {
  constructor(private readonly options: BatchJobApiOptions) {}

  /** Resolves once the job is stored, by this call or by an earlier one. */
  async submit(submission: JobSubmission, route: Route, arrivedAt: number): Reply<SubmitStatus> {
    const { timer, log, metrics, acknowledgeMs } = this.options;
    const { jobId, items } = submission;
    const answered = await this.answer('submit-job', jobId, acknowledgeMs, () =>
      this.store(submission, route, arrivedAt),
    );
    const isRefusedByStop = answered.isErr() && answered.error.step === STOP_STEP;
    const stored = isRefusedByStop ? await this.checkRefusal(jobId, answered.error) : answered;
    const reply = stored.isOk() ? await this.checkSubmitter(submission, stored.value) : stored;
    const outcome = reply.isOk() ? reply.value : reply.error.outcome;
    log.write('job-submitted', {
      job: jobId,
      items: items.length,
      outcome,
      durationMs: Math.round(timer.now() - arrivedAt),
      ...(reply.isErr()
        ? {
            code: reply.error.code,
            message: reply.error.message,
            retryAfterMs: reply.error.retryAfterMs,
          }
        : {}),
    });
    metrics.increment('batch.submissions', { outcome });
    return reply;
  }

  read(jobId: string, after: number, waitMs: number, caller: CallerIdentity): Reply<ResultPage> {
    return this.answer('read-results', jobId, waitMs + CALL_MS, async () => {
      const refusal = await this.checkTeam('read-results', jobId, caller);
      if (refusal !== undefined) return err(refusal);
      const page = await this.options.reader.readPage(jobId, after, waitMs);
      if (page.isErr()) return err(page.error);
      return page.value === undefined
        ? err(createNotFound('read-results', 'no such job'))
        : ok(page.value);
    });
  }

  /** Returns the request body of an item. */
  readBody(jobId: string, itemId: string, caller: CallerIdentity): Reply<Buffer> {
    return this.answer('read-body', jobId, CALL_MS, async () => {
      const refusal = await this.checkTeam('read-body', jobId, caller);
      return refusal === undefined ? this.findBody(jobId, itemId) : err(refusal);
    });
  }

  end(jobId: string, arrivedAt: number, caller: CallerIdentity): Reply<void> {
    const { jobs, log, acknowledgeMs } = this.options;
    return this.answer('end-job', jobId, acknowledgeMs, async () => {
      const refusal = await this.checkTeam('end-job', jobId, caller);
      if (refusal !== undefined) return err(refusal);
      const reply = await jobs.end(jobId, arrivedAt + acknowledgeMs - RESPONSE_RESERVE_MS);
      if (reply.isErr()) return err(reply.error);
      log.write('job-ended', { job: jobId, status: reply.value });
      return reply.value === EndStatus.Ended
        ? ok(undefined)
        : err(createNotFound('end-job', 'no such job'));
    });
  }

  /** Returns why the caller does not reach the job; undefined if it does. */
  private async checkTeam(
    step: string,
    jobId: string,
    { team, isTeamRequired }: CallerIdentity,
  ): Promise<Fault | undefined> {
    if (!isTeamRequired) return undefined;
    const found = await this.options.reader.find(jobId);
    if (found.isErr()) return found.error;
    const job = found.value?.job;
    if (job !== undefined && (job.team === undefined || job.team === team)) return undefined;
    if (team !== undefined) return createNotFound(step, 'no such job');
    const message = 'the key is missing or not known';
    return { code: FaultCode.Unauthorized, outcome: Outcome.NotRun, step, message };
  }

  /** Refuses a submission under the id of another team's job, which would never run. */
  private async checkSubmitter(
    { jobId, caller }: JobSubmission,
    status: SubmitStatus,
  ): Reply<SubmitStatus> {
    if (status !== SubmitStatus.AlreadyAccepted) return ok(status);
    const found = await this.options.reader.find(jobId);
    if (found.isErr()) return err({ ...found.error, outcome: Outcome.OutcomeUnknown });
    const owner = found.value?.job.team;
    // The job may be older than the teams of the configuration, or these may have been removed.
    if (!caller.isTeamRequired || owner === undefined || owner === caller.team) return ok(status);
    const message = 'a job of another team has this id';
    return err({ code: FaultCode.Conflict, outcome: Outcome.NotRun, step: 'submit-job', message });
  }

  /** A job whose earlier submission is stored runs, so that a refusal of it as not run would be untrue. */
  private async checkRefusal(jobId: string, refusal: Fault): Reply<SubmitStatus> {
    const found = await this.options.reader.find(jobId);
    if (found.isErr()) return err({ ...refusal, outcome: Outcome.OutcomeUnknown });
    return found.value === undefined ? err(refusal) : ok(SubmitStatus.AlreadyAccepted);
  }

  private store(
    { jobId, host, target, items, caller: { team }, configurationVersion }: JobSubmission,
    route: Route,
    arrivedAt: number,
  ): Reply<SubmitStatus> {
    const { jobs, timer, acknowledgeMs } = this.options;
    const job: SubmittedJob = {
      schemaVersion: SCHEMA_VERSION,
      id: jobId,
      host,
      target,
      submittedAt: timer.wallClock() - (timer.now() - arrivedAt),
      dueMs: route.dueMs ?? DEFAULT_DUE_MS,
      itemLifetimeMs: route.itemLifetimeMs ?? DEFAULT_DUE_MS,
      maxAttempts: route.maxAttempts,
      configurationVersion,
      items,
      ...(team === undefined ? {} : { team }),
      quotaId: createQuotaId(route.host, route.prefix, team),
      isCounted: route.maxQueuedTokens !== undefined,
    };
    const deadline = arrivedAt + acknowledgeMs - RESPONSE_RESERVE_MS;
    return jobs.submit(job, deadline, route.maxQueuedTokens);
  }

  private async findBody(jobId: string, itemId: string): Reply<Buffer> {
    const found = await this.options.reader.find(jobId);
    if (found.isErr()) return err(found.error);
    const job = found.value?.job;
    const index = job?.items.findIndex(({ id }) => id === itemId) ?? -1;
    if (job === undefined || index < 0) {
      return err(createNotFound('read-body', 'no such item'));
    }
    const requests = await this.options.requests.read(job);
    if (requests.isErr()) return err(requests.error);
    return ok(Buffer.from(requests.value[index]?.body ?? '', 'base64'));
  }

  /** Answers a call about a job, unless this VM stops before it could be answered. */
  private async answer<T>(
    step: string,
    jobId: string,
    maxMs: number,
    run: () => Reply<T>,
  ): Reply<T> {
    const { admission, timer, log } = this.options;
    const startedAt = timer.now();
    const refusal = admission.refuse({ kind: step, maxMs, mayRepeat: true });
    const reply = refusal === undefined ? await run() : err(refusal);
    if (reply.isOk()) admission.recordDuration(step, timer.now() - startedAt);
    if (reply.isErr()) {
      const { code, outcome, message } = reply.error;
      log.write('batch-call-refused', { job: jobId, step, code, outcome, message });
    }
    return reply;
  }
}
