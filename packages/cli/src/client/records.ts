/** Requests for operator records. */
import { type Fault, FaultCode } from '@jujubelanding/errors';
import { MemberState, type RecordKind } from '@jujubelanding/types';
import { ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { type Client, Repetition } from './client.js';
import {
  FLEET_STATUS_SCHEMA,
  type FleetStatus,
  RECORD_SCHEMA,
  type StoredRecord,
} from './schemas.js';

const RECORDS_PATH = '/admin/v1/records';

/** Path of a record or of all records of a kind. */
export const createRecordPath = (...parts: readonly string[]): string =>
  [RECORDS_PATH, ...parts.map(encodeURIComponent)].join('/');

export const readRecord = (
  client: Client,
  kind: RecordKind,
  name: string,
): Promise<Result<StoredRecord, Fault>> =>
  client.send(
    { method: 'GET', path: createRecordPath(kind, name), repetition: Repetition.ReadOnly },
    RECORD_SCHEMA,
  );

/** Reads a record that may not exist. */
export const readRecordIfExists = async (
  client: Client,
  kind: RecordKind,
  name: string,
): Promise<Result<StoredRecord | undefined, Fault>> => {
  const record = await readRecord(client, kind, name);
  if (record.isErr() && record.error.code === FaultCode.NotFound) return ok(undefined);
  return record;
};

export interface RecordWrite {
  kind: RecordKind;
  name: string;
  schemaVersion: number;
  spec: Record<string, unknown>;
  /** 0 for a record that must not exist. */
  expectedRevision: number;
}

/** Header that names who writes; the entry VM records it in the history. */
const createAuthorHeader = (author: string | undefined): Record<string, string> =>
  author === undefined ? {} : { 'x-operator': author };

/** Writes a record; all attempts carry one write id, so that it is applied once. */
export const writeRecord = (
  client: Client,
  { kind, name, ...content }: RecordWrite,
  author?: string,
): Promise<Result<StoredRecord, Fault>> =>
  client.send(
    {
      method: 'PUT',
      path: createRecordPath(kind, name),
      repetition: Repetition.Idempotent,
      headers: {
        'content-type': 'application/json',
        'x-write-id': client.createId(),
        ...createAuthorHeader(author),
      },
      createBody: () => JSON.stringify(content),
    },
    RECORD_SCHEMA,
  );

const DELETION_SCHEMA = z.looseObject({ revision: z.number() });

/** Deletes a record; all attempts carry one write id. */
export const removeRecord = async (
  client: Client,
  kind: RecordKind,
  name: string,
  expectedRevision: number,
  author?: string,
): Promise<Result<number, Fault>> => {
  const deletion = await client.send(
    {
      method: 'DELETE',
      path: `${createRecordPath(kind, name)}?expectedRevision=${expectedRevision}`,
      repetition: Repetition.Idempotent,
      headers: { 'x-write-id': client.createId(), ...createAuthorHeader(author) },
    },
    DELETION_SCHEMA,
  );
  return deletion.map(({ revision }) => revision);
};

export const readStatus = (client: Client): Promise<Result<FleetStatus, Fault>> =>
  client.send(
    { method: 'GET', path: '/admin/v1/status', repetition: Repetition.ReadOnly },
    FLEET_STATUS_SCHEMA,
  );

/** Tells whether all live entry VMs have a revision in force. */
export const isActiveOnLiveVms = ({ entryVms }: FleetStatus, revision: number): boolean =>
  entryVms.length > 0 &&
  entryVms.every(
    ({ state, activeRevision }) => state === MemberState.Dead || activeRevision >= revision,
  );

const POLL_INTERVAL_MS = 250;

/** Waits until a revision is in force everywhere; false when the time is over first. */
export const waitUntilActive = async (client: Client, revision: number): Promise<boolean> => {
  while (!client.isDeadlineExceeded()) {
    const status = await readStatus(client);
    // An entry VM that does not answer now may do so until the time is over.
    if (status.isOk() && isActiveOnLiveVms(status.value, revision)) return true;
    await client.sleep(POLL_INTERVAL_MS);
  }
  return false;
};
