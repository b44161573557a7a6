/** Resolves the job settings of a submission, given directly or through a job class. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import type { JobSubmission } from '@jujubelanding/interfaces';
import { JobControl, RecordKind } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { createRefusal, type CallerApiOptions } from './request-context.js';
import type { SubmissionFields } from './schemas.js';

const DEFAULT_DUE_IN_MS = 24 * 3_600_000;

const DEFAULT_MAX_ATTEMPTS = 3;

/** Fields that a job class sets; a submission that names a job class must not set them. */
const JOB_CLASS_FIELDS = ['model', 'adapter', 'dueInMs', 'dueAt', 'maxAttempts'] as const;

type ResolvedSubmission = Pick<
  JobSubmission,
  'model' | 'adapter' | 'jobClass' | 'maxAttempts' | 'dueAt'
> & {
  maxTokens: number;
};

const rejectField = (field: string, problem: string): Result<never, Fault> =>
  err(
    createRefusal(FaultCode.InvalidInput, 'body', `field ${field}: ${problem}`, { field, problem }),
  );

/** Replaces a reference to a job class with the fields of its record. */
const applyJobClass = (
  { configuration }: CallerApiOptions,
  team: string,
  fields: SubmissionFields,
): Result<SubmissionFields, Fault> => {
  if (fields.job === undefined) return ok(fields);
  const record = configuration.get(RecordKind.Job, fields.job);
  if (record === undefined || record.spec.team !== team) {
    return rejectField('job', `job class ${fields.job} is not known`);
  }
  const conflict = JOB_CLASS_FIELDS.find((field) => fields[field] !== undefined);
  if (conflict !== undefined) return rejectField(conflict, 'is set by the job class');
  if (record.spec.control === JobControl.Cancelled) {
    const message = `job class ${fields.job} is cancelled`;
    return err(createRefusal(FaultCode.Conflict, 'jobs', message));
  }
  const { model, adapter, dueInMs, maxAttempts } = record.spec;
  return ok({ job: fields.job, model, adapter, dueInMs, maxAttempts });
};

export const resolveSubmission = (
  options: CallerApiOptions,
  team: string,
  submittedFields: SubmissionFields,
): Result<ResolvedSubmission, Fault> => {
  const applied = applyJobClass(options, team, submittedFields);
  if (applied.isErr()) return err(applied.error);
  const fields = applied.value;
  const { configuration, io } = options;
  if (fields.model === undefined) {
    return rejectField('model', 'is missing before the items, and no job class is given');
  }
  const model = configuration.get(RecordKind.Model, fields.model);
  if (model === undefined) return rejectField('model', `${fields.model} is not known`);
  const { adapter } = fields;
  const adapterRecord =
    adapter === undefined ? undefined : configuration.get(RecordKind.Adapter, adapter);
  if (adapter !== undefined && adapterRecord?.spec.model !== fields.model) {
    return rejectField('adapter', `${adapter} of model ${fields.model} is not known`);
  }
  const dueAt =
    fields.dueAt === undefined
      ? io.timer.wallClock() + (fields.dueInMs ?? DEFAULT_DUE_IN_MS)
      : Date.parse(fields.dueAt);
  return ok({
    model: fields.model,
    ...(adapter === undefined ? {} : { adapter }),
    ...(fields.job === undefined ? {} : { jobClass: fields.job }),
    maxAttempts: fields.maxAttempts ?? DEFAULT_MAX_ATTEMPTS,
    dueAt,
    maxTokens: model.spec.maxTokens,
  });
};
