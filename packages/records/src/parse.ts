/** Validates records and reports all errors together. */
import { type Fault, FaultCode, Outcome } from '@jujubelanding/errors';
import { RecordKind } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { Err, Ok, Result as Collected } from 'ts-results-es';
import type { z } from 'zod';
import type { Spec } from './conversion.js';
import { nameField } from './fields.js';
import { newestVersion, SCHEMAS } from './schemas.js';

/** A record as submitted by an operator. */
export interface OperatorRecord {
  kind: RecordKind;
  name: string;
  schemaVersion: number;
  spec: Spec;
}

/** An invalid field of a record. */
export interface FieldFault {
  field: string;
  /** The invalid value as truncated JSON; `missing` if the field is absent. */
  value: string;
  allowed: string;
}

const MAX_VALUE_LENGTH = 100;
const RECORD_FIELDS = ['kind', 'name', 'schemaVersion', 'spec'];

const isObject = (value: unknown): value is Spec =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isRecordKind = (value: unknown): value is RecordKind =>
  Object.values<unknown>(RecordKind).includes(value);

const formatValue = (value: unknown): string =>
  value === undefined ? 'missing' : JSON.stringify(value).slice(0, MAX_VALUE_LENGTH);

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key],
    root,
  );

const toFieldFaults = (
  issue: z.core.$ZodIssue,
  input: unknown,
  prefix: string,
  knownFields: readonly string[],
): FieldFault[] => {
  const fieldPath = (path: readonly PropertyKey[]): string => [prefix, ...path].join('.');
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      field: fieldPath([...issue.path, key]),
      value: formatValue(valueAt(input, [...issue.path, key])),
      allowed: `no such field; known are ${knownFields.join(', ')}`,
    }));
  }
  const value = formatValue(valueAt(input, issue.path));
  return [{ field: fieldPath(issue.path), value, allowed: issue.message }];
};

type CheckResult<T> = Collected<T, FieldFault[]>;

const reject = (field: string, value: unknown, allowed: string): Err<FieldFault[]> =>
  Err([{ field, value: formatValue(value), allowed }]);

const checkKind = (kind: unknown): CheckResult<RecordKind> =>
  isRecordKind(kind)
    ? Ok(kind)
    : reject('kind', kind, `one of ${Object.values(RecordKind).join(', ')}`);

const checkName = (name: unknown): CheckResult<string> => {
  const parsed = nameField().safeParse(name);
  return parsed.success ? Ok(parsed.data) : reject('name', name, parsed.error.issues[0]!.message);
};

const checkVersion = (kind: unknown, version: unknown): CheckResult<number> => {
  const newest = isRecordKind(kind) ? newestVersion(kind) : 1;
  const isPositive = Number.isInteger(version) && Number(version) >= 1;
  // With an invalid kind the newest version is unknown, so any positive version is accepted; the kind
  // is reported instead.
  if (isPositive && (!isRecordKind(kind) || Number(version) <= newest)) return Ok(Number(version));
  return reject('schemaVersion', version, `an integer from 1 to ${newest}`);
};

const checkSpec = (kind: unknown, version: unknown, spec: unknown): CheckResult<Spec> => {
  if (!isObject(spec)) return reject('spec', spec, 'an object');
  const schema = isRecordKind(kind) ? SCHEMAS[kind][Number(version) - 1] : undefined;
  if (schema === undefined) return Ok(spec);
  const parsed = schema.safeParse(spec);
  if (parsed.success) return Ok(parsed.data);
  const knownFields = Object.keys(schema.shape);
  return Err(
    parsed.error.issues.flatMap((issue) => toFieldFaults(issue, spec, 'spec', knownFields)),
  );
};

const checkKnownFields = (input: Spec): CheckResult<void> => {
  const unknown = Object.keys(input).filter((key) => !RECORD_FIELDS.includes(key));
  const allowed = `no such field; known are ${RECORD_FIELDS.join(', ')}`;
  return unknown.length === 0
    ? Ok(undefined)
    : Err(unknown.map((field) => ({ field, value: formatValue(input[field]), allowed })));
};

/** Validates a record in any known schema version and returns all errors together. */
export const parseRecord = (input: unknown): Result<OperatorRecord, FieldFault[]> => {
  if (!isObject(input)) {
    return err([{ field: 'record', value: formatValue(input), allowed: 'an object' }]);
  }
  const kind = checkKind(input.kind);
  const name = checkName(input.name);
  const schemaVersion = checkVersion(input.kind, input.schemaVersion);
  const spec = checkSpec(input.kind, input.schemaVersion, input.spec);
  const checks = [
    kind,
    name,
    schemaVersion,
    spec,
    checkKnownFields(input),
  ] as CheckResult<unknown>[];
  const [, faults] = Collected.partition(checks);
  if (faults.length > 0) return err(faults.flat());
  return ok({
    kind: kind.unwrap(),
    name: name.unwrap(),
    schemaVersion: schemaVersion.unwrap(),
    spec: spec.unwrap(),
  });
};

/** Returns whether a schema version exists for a kind. */
export const isKnownVersion = (kind: RecordKind, version: number): boolean =>
  Number.isInteger(version) && version >= 1 && version <= newestVersion(kind);

/** Combines the errors of all fields into one fault. */
export const toInvalidInput = (faults: readonly FieldFault[], step: string): Fault => ({
  code: FaultCode.InvalidInput,
  outcome: Outcome.NotRun,
  step,
  message: faults
    .map(({ field, value, allowed }) => `${field} is ${value}, allowed: ${allowed}`)
    .join('; '),
  details: Object.fromEntries(
    faults.map(({ field, value, allowed }) => [field, `${value}; allowed: ${allowed}`]),
  ),
});
