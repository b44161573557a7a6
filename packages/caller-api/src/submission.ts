/** Model, due time and attempts of a submission, given directly or by a job class. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import type { JobSubmission } from '@jujubelanding/interfaces';
import { JobControl, RecordKind } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { createRefusal, type CallerApiOptions } from './exchange.js';
import type { SubmissionFields } from './schemas.js';

const DEFAULT_DUE_MS = 24 * 3_600_000;

const DEFAULT_ATTEMPTS = 3;

/** Fields that a job class sets; a submission that names a class can't set them as well. */
const CLASS_FIELDS = ['model', 'adapter', 'dueInMs', 'dueAt', 'maxAttempts'] as const;

type Resolved = Pick<JobSubmission, 'model' | 'adapter' | 'jobClass' | 'maxAttempts' | 'dueAt'> & {
  maxTokens: number;
};

const refuseField = (field: string, problem: string): Result<never, Fault> =>
  err(
    createRefusal(FaultCode.InvalidInput, 'body', `field ${field}: ${problem}`, { field, problem }),
  );

/** Replaces the name of a job class by what its record says. */
const applyClass = (
  { configuration }: CallerApiOptions,
  team: string,
  fields: SubmissionFields,
): Result<SubmissionFields, Fault> => {
  if (fields.job === undefined) return ok(fields);
  const record = configuration.get(RecordKind.Job, fields.job);
  if (record === undefined || record.spec.team !== team) {
    return refuseField('job', `job class ${fields.job} is not known`);
  }
  const double = CLASS_FIELDS.find((field) => fields[field] !== undefined);
  if (double !== undefined) return refuseField(double, 'is set by the job class');
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
  given: SubmissionFields,
): Result<Resolved, Fault> => {
  const applied = applyClass(options, team, given);
  if (applied.isErr()) return err(applied.error);
  const fields = applied.value;
  const { configuration, io } = options;
  if (fields.model === undefined) {
    return refuseField('model', 'is missing before the items, and no job is named');
  }
  const model = configuration.get(RecordKind.Model, fields.model);
  if (model === undefined) return refuseField('model', `${fields.model} is not known`);
  const { adapter } = fields;
  const adapterRecord =
    adapter === undefined ? undefined : configuration.get(RecordKind.Adapter, adapter);
  if (adapter !== undefined && adapterRecord?.spec.model !== fields.model) {
    return refuseField('adapter', `${adapter} of model ${fields.model} is not known`);
  }
  const dueAt =
    fields.dueAt === undefined
      ? io.timer.wallClock() + (fields.dueInMs ?? DEFAULT_DUE_MS)
      : Date.parse(fields.dueAt);
  return ok({
    model: fields.model,
    ...(adapter === undefined ? {} : { adapter }),
    ...(fields.job === undefined ? {} : { jobClass: fields.job }),
    maxAttempts: fields.maxAttempts ?? DEFAULT_ATTEMPTS,
    dueAt,
    maxTokens: model.spec.maxTokens,
  });
};
