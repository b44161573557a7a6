/** Client functions for operator records and the fleet status. */
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

/** Creates the path of a record or of all records of a kind. */
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

/** Reads a record; returns undefined if it does not exist. */
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
  /** 0 if the record must not exist yet. */
  expectedRevision: number;
}

/** Creates the header with the author, which the entry VM stores in the history. */
const createAuthorHeader = (author: string | undefined): Record<string, string> =>
  author === undefined ? {} : { 'x-operator': author };

/** Writes a record; all attempts share one write id, so that the write is applied once. */
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

/** Deletes a record; all attempts share one write id. Returns the revision of the deletion. */
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

/** Returns whether a revision is active on all entry VMs that are not dead. */
export const isActiveOnLiveVms = ({ entryVms }: FleetStatus, revision: number): boolean =>
  entryVms.length > 0 &&
  entryVms.every(
    ({ state, activeRevision }) => state === MemberState.Dead || activeRevision >= revision,
  );

const POLL_INTERVAL_MS = 250;

/** Waits until a revision is active on all live entry VMs; returns false on timeout. */
export const waitUntilActive = async (client: Client, revision: number): Promise<boolean> => {
  while (!client.isDeadlineExceeded()) {
    const status = await readStatus(client);
    // A failed status request is retried until the deadline, since the entry VM may recover.
    if (status.isOk() && isActiveOnLiveVms(status.value, revision)) return true;
    await client.sleep(POLL_INTERVAL_MS);
  }
  return false;
};
