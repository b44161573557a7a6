/** Routes of the administration API, which is mounted under /admin. */
import { type Fault, FaultCode, getHttpStatus, toProblemDetails } from '@jujubelanding/errors';
import type { EntryVmIo, EntryVmSettings, Membership } from '@jujubelanding/interfaces';
import {
  convertSpec,
  isKnownVersion,
  isTombstone,
  newestVersion,
  type RecordRevision,
  toInvalidInput,
} from '@jujubelanding/records';
import { type Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { err, ok, type Result } from 'neverthrow';
import { createFault } from './faults.js';
import { FleetStatusController } from './fleet-status.js';
import { MAX_RECORD_BYTES } from './history.js';
import {
  readKind,
  readRecordWrite,
  readRequestedVersion,
  readWriteRequest,
} from './request-input.js';
import { isOperator } from './operator-token.js';
import { RecordsController, type RevisedRecord } from './records-controller.js';

const MS_PER_SECOND = 1000;

export interface AdminApiOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store' | 'createLog'>;
  settings: Pick<EntryVmSettings, 'operatorTokenHash'>;
  membership: Pick<Membership, 'members' | 'onChange'>;
  configuration?: { invalidRecords?: () => unknown[] };
}

const respondFault = (context: Context, fault: Fault): Response => {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (fault.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(fault.retryAfterMs / MS_PER_SECOND));
  }
  return context.body(
    JSON.stringify(toProblemDetails(fault)),
    getHttpStatus(fault) as 400,
    headers,
  );
};

/** Converts a record to the requested schema version, if there is one. */
const convertRecord = (
  record: RevisedRecord,
  requestedVersion: number | undefined,
): Result<RevisedRecord, Fault> => {
  const schemaVersion = requestedVersion ?? record.schemaVersion;
  if (!isKnownVersion(record.kind, schemaVersion)) {
    const allowed = `an integer from 1 to ${newestVersion(record.kind)}`;
    const fault = { field: 'schemaVersion', value: String(schemaVersion), allowed };
    return err(toInvalidInput([fault], 'check-input'));
  }
  const spec = convertSpec(record.kind, record.spec, record.schemaVersion, schemaVersion);
  return ok({ ...record, schemaVersion, spec });
};

const respondRecord = (context: Context, record: Result<RevisedRecord, Fault>): Response => {
  if (record.isErr()) return respondFault(context, record.error);
  return context.json(record.value, 200, { etag: `"${record.value.revision}"` });
};

const formatRevision = ({ revision, stored }: RecordRevision) =>
  isTombstone(stored)
    ? { revision, deleted: true, author: stored.author, time: stored.time }
    : { ...stored, revision };

const addReadRoutes = (app: Hono, records: RecordsController): void => {
  app.get('/v1/records/:kind/:name', async (context) => {
    const requested = readRequestedVersion(context.req);
    const kind = readKind(context.req);
    if (kind.isErr()) return respondFault(context, kind.error);
    if (requested.isErr()) return respondFault(context, requested.error);
    const record = await records.get(kind.value, context.req.param('name'));
    return respondRecord(
      context,
      record.andThen((found) => convertRecord(found, requested.value)),
    );
  });
  app.get('/v1/records/:kind', async (context) => {
    const kind = readKind(context.req);
    if (kind.isErr()) return respondFault(context, kind.error);
    const listing = await records.list(kind.value);
    return listing.isErr() ? respondFault(context, listing.error) : context.json(listing.value);
  });
  app.get('/v1/records/:kind/:name/history', async (context) => {
    const kind = readKind(context.req);
    if (kind.isErr()) return respondFault(context, kind.error);
    const history = await records.listHistory(kind.value, context.req.param('name'));
    if (history.isErr()) return respondFault(context, history.error);
    return context.json({ revisions: history.value.map(formatRevision) });
  });
};

const addWriteRoutes = (app: Hono, records: RecordsController): void => {
  const onError = (context: Context): Response => {
    const message = `the body exceeds ${MAX_RECORD_BYTES} bytes`;
    return respondFault(context, createFault(FaultCode.TooLarge, 'check-input', message));
  };
  const limit = bodyLimit({ maxSize: MAX_RECORD_BYTES, onError });
  app.put('/v1/records/:kind/:name', limit, async (context) => {
    const input = await readRecordWrite(context.req);
    if (input.isErr()) return respondFault(context, input.error);
    return respondRecord(context, await records.put(input.value.record, input.value.write));
  });
  app.delete('/v1/records/:kind/:name', async (context) => {
    const kind = readKind(context.req);
    if (kind.isErr()) return respondFault(context, kind.error);
    const write = readWriteRequest(context.req);
    if (write.isErr()) return respondFault(context, write.error);
    const removed = await records.remove(kind.value, context.req.param('name'), write.value);
    if (removed.isErr()) return respondFault(context, removed.error);
    return context.json({ revision: removed.value });
  });
};

/** Creates the administration API. */
export const createAdminApi = ({
  io,
  settings,
  membership,
  configuration,
}: AdminApiOptions): Hono => {
  const records = new RecordsController({ io });
  const status = new FleetStatusController({
    io,
    membership,
    writtenRevision: () => records.writtenRevision(),
  });
  const app = new Hono();
  app.use('*', async (context, next) => {
    if (isOperator(context.req.header('authorization'), settings.operatorTokenHash)) return next();
    const message = 'the operator token is missing or wrong';
    return respondFault(context, createFault(FaultCode.Unauthorized, 'check-token', message));
  });
  addReadRoutes(app, records);
  addWriteRoutes(app, records);
  app.get('/v1/status', (context) =>
    context.json({ ...status.read(), invalidRecords: configuration?.invalidRecords?.() ?? [] }),
  );
  app.notFound((context) =>
    respondFault(context, createFault(FaultCode.NotFound, 'route', 'there is no such resource')),
  );
  return app;
};
