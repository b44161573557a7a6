/** Schemas of all record kinds in all schema versions. */
import { FencingMode, JobControl, RecordKind, ServiceKind } from '@jujubelanding/types';
import * as z from 'zod';
import {
  booleanField,
  choiceField,
  integerField,
  listField,
  nameField,
  numberField,
  patternField,
  textField,
} from './fields.js';

const MAX_SLOTS = 10_000;
const MAX_TIMEOUT_MS = 3_600_000;
const MAX_WORKERS = 10_000;
const MAX_PATHS = 1000;
const MAX_KEYS = 100;
const MAX_RATE_PER_SECOND = 1_000_000;
const MAX_BODY_BYTES = 1024 ** 3;
const MAX_JOB_ITEMS = 570_000;
const MAX_DUE_MS = 30 * 24 * 3_600_000;
const MS_PER_SECOND = 1000;
const SECONDS_PER_MINUTE = 60;
const BYTES_PER_KIB = 1024;

const pathsField = () =>
  listField(
    patternField(/^\/[^\s?#]{0,511}$/, 'a path prefix that starts with "/"'),
    'path prefixes',
    MAX_PATHS,
  );

const keyHashesField = () =>
  listField(
    patternField(/^[0-9a-f]{64}$/, 'a SHA-256 checksum of 64 lower-case hexadecimal digits'),
    'SHA-256 checksums',
    MAX_KEYS,
  );

/** Version 1 has a boolean for the fencing mode and the timeout in seconds. */
const serviceSchemaV1 = z.strictObject({
  kind: choiceField(ServiceKind),
  checksFencing: booleanField(),
  slotsPerWorker: integerField(1, MAX_SLOTS),
  requestTimeoutSeconds: numberField(1 / MS_PER_SECOND, MAX_TIMEOUT_MS / MS_PER_SECOND),
  nonIdempotentPaths: pathsField(),
});

const serviceSchemaV2 = z.strictObject({
  kind: choiceField(ServiceKind),
  fencing: choiceField(FencingMode),
  slotsPerWorker: integerField(1, MAX_SLOTS),
  requestTimeoutMs: integerField(1, MAX_TIMEOUT_MS),
  nonIdempotentPaths: pathsField(),
});

const modelSchema = z.strictObject({
  service: nameField(),
  version: nameField(),
  minWorkers: integerField(0, MAX_WORKERS),
  maxTokens: integerField(1, 10_000_000),
});

const adapterSchema = z.strictObject({
  model: nameField(),
  version: nameField(),
  minWorkers: integerField(0, MAX_WORKERS),
});

const versionSchema = z.strictObject({ weight: textField(255) });

const commonTeamFields = {
  keyHashes: keyHashesField(),
  burst: integerField(1, MAX_RATE_PER_SECOND),
  concurrency: integerField(1, MAX_RATE_PER_SECOND),
  maxJobItems: integerField(0, MAX_JOB_ITEMS),
  batchWeight: numberField(0.001, 1000),
};

/** Version 1 has the rate per minute and the body size in KiB. */
const teamSchemaV1 = z.strictObject({
  ...commonTeamFields,
  requestsPerMinute: numberField(0, MAX_RATE_PER_SECOND * SECONDS_PER_MINUTE),
  maxBodyKib: numberField(0, MAX_BODY_BYTES / BYTES_PER_KIB),
});

const teamSchemaV2 = z.strictObject({
  ...commonTeamFields,
  requestsPerSecond: numberField(0, MAX_RATE_PER_SECOND),
  maxBodyBytes: integerField(0, MAX_BODY_BYTES),
});

const jobSchema = z.strictObject({
  team: nameField(),
  model: nameField(),
  adapter: nameField().optional(),
  dueInMs: integerField(1, MAX_DUE_MS),
  maxAttempts: integerField(1, 100),
  control: choiceField(JobControl),
});

export type ServiceRecordV1 = z.infer<typeof serviceSchemaV1>;
export type TeamRecordV1 = z.infer<typeof teamSchemaV1>;

/** Schemas by kind; the array index is the schema version minus 1. */
export const SCHEMAS: Record<RecordKind, readonly z.ZodObject[]> = {
  [RecordKind.Service]: [serviceSchemaV1, serviceSchemaV2],
  [RecordKind.Model]: [modelSchema],
  [RecordKind.Adapter]: [adapterSchema],
  [RecordKind.Version]: [versionSchema],
  [RecordKind.Team]: [teamSchemaV1, teamSchemaV2],
  [RecordKind.Job]: [jobSchema],
};

/** Returns the newest schema version of a kind. */
export const newestVersion = (kind: RecordKind): number => SCHEMAS[kind].length;
