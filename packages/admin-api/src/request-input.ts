/** Parses and validates requests to the administration API. */
import type { Fault } from '@jujubelanding/errors';
import {
  type FieldFault,
  type OperatorRecord,
  parseRecord,
  toInvalidInput,
} from '@jujubelanding/records';
import { RecordKind } from '@jujubelanding/types';
import type { HonoRequest } from 'hono';
import { err, ok, type Result } from 'neverthrow';
import type { WriteRequest } from './records-controller.js';

const DEFAULT_AUTHOR = 'operator';
const AUTHOR_PATTERN = /^[\x21-\x7e]{1,100}$/;
const WRITE_ID_PATTERN = /^[\w-]{8,64}$/;
const REVISION_PATTERN = /^(?:W\/)?"?(\d{1,15})"?$/;
const STEP = 'check-input';

const createInputFault = (faults: readonly FieldFault[]): Fault => toInvalidInput(faults, STEP);

const isRecordKind = (kind: string): kind is RecordKind =>
  Object.values<string>(RecordKind).includes(kind);

/** Reads the record kind from the path. */
export const readKind = (request: HonoRequest): Result<RecordKind, Fault> => {
  const kind = request.param('kind') ?? '';
  if (isRecordKind(kind)) return ok(kind);
  const allowed = `one of ${Object.values(RecordKind).join(', ')}`;
  return err(createInputFault([{ field: 'kind', value: JSON.stringify(kind), allowed }]));
};

/** Reads the expected revision from header, query and body; where several are given, they must agree. */
const readExpectedRevision = (
  request: HonoRequest,
  body: Record<string, unknown>,
): Result<number, FieldFault> => {
  const values = [
    request.header('if-match'),
    request.query('expectedRevision'),
    body.expectedRevision,
  ].filter((value) => value !== undefined);
  const revisions = values.map((value) => Number(REVISION_PATTERN.exec(String(value))?.[1]));
  const [first] = revisions;
  const isValid = first !== undefined && revisions.every((revision) => revision === first);
  if (isValid) return ok(first);
  return err({
    field: 'expectedRevision',
    value: values.length === 0 ? 'missing' : JSON.stringify(values),
    allowed:
      'the revision that is replaced, 0 for a new record, in the If-Match header or as expectedRevision',
  });
};

const readHeader = (
  request: HonoRequest,
  name: string,
  pattern: RegExp,
): Result<string | undefined, FieldFault> => {
  const value = request.header(name);
  if (value === undefined || pattern.test(value)) return ok(value);
  return err({
    field: name,
    value: JSON.stringify(value),
    allowed: `a text matching ${pattern.source}`,
  });
};

/** Reads expected revision, author and write id; returns all faults together. */
const readWriteFields = (
  request: HonoRequest,
  body: Record<string, unknown>,
): Result<WriteRequest, FieldFault[]> => {
  const revision = readExpectedRevision(request, body);
  const author = readHeader(request, 'x-operator', AUTHOR_PATTERN);
  const writeId = readHeader(request, 'x-write-id', WRITE_ID_PATTERN);
  if (revision.isOk() && author.isOk() && writeId.isOk()) {
    return ok({
      expectedRevision: revision.value,
      author: author.value ?? DEFAULT_AUTHOR,
      writeId: writeId.value,
    });
  }
  return err(
    [revision, author, writeId].flatMap((result) => (result.isErr() ? [result.error] : [])),
  );
};

export const readWriteRequest = (request: HonoRequest): Result<WriteRequest, Fault> =>
  readWriteFields(request, {}).mapErr(createInputFault);

const readBody = async (request: HonoRequest): Promise<Record<string, unknown> | undefined> => {
  const body: unknown = await request.json().catch(() => undefined);
  const isObject = typeof body === 'object' && body !== null && !Array.isArray(body);
  return isObject ? (body as Record<string, unknown>) : undefined;
};

/** Reads a record from path and body; returns all faults together. */
export const readRecordWrite = async (
  request: HonoRequest,
): Promise<Result<{ record: OperatorRecord; write: WriteRequest }, Fault>> => {
  const body = await readBody(request);
  if (body === undefined) {
    return err(
      createInputFault([{ field: 'body', value: 'no JSON object', allowed: 'a JSON object' }]),
    );
  }
  const { expectedRevision, ...content } = body;
  const path = { kind: request.param('kind'), name: request.param('name') };
  const mismatches = (['kind', 'name'] as const)
    .filter((field) => field in content && content[field] !== path[field])
    .map((field) => ({
      field,
      value: JSON.stringify(content[field]),
      allowed: `${path[field]}, as in the path`,
    }));
  const record = parseRecord({ ...content, ...path });
  const write = readWriteFields(request, { expectedRevision });
  if (record.isOk() && write.isOk() && mismatches.length === 0) {
    return ok({ record: record.value, write: write.value });
  }
  return err(
    createInputFault([
      ...mismatches,
      ...(record.isErr() ? record.error : []),
      ...(write.isErr() ? write.error : []),
    ]),
  );
};

/** Reads the schema version requested for the response. */
export const readRequestedVersion = (request: HonoRequest): Result<number | undefined, Fault> => {
  const text = request.query('schemaVersion');
  if (text === undefined) return ok(undefined);
  if (/^[1-9]\d{0,3}$/.test(text)) return ok(Number(text));
  const allowed = 'a schema version of the record kind';
  return err(createInputFault([{ field: 'schemaVersion', value: JSON.stringify(text), allowed }]));
};
