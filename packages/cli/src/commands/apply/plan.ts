/** Plans the change that `apply` makes to each record. */
import type { Fault } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import type { Client } from '../../client/client.js';
import { readRecordIfExists, type RecordWrite } from '../../client/records.js';
import type { StoredRecord } from '../../client/schemas.js';
import type { FileRecord } from '../../input/records.js';
import { type Difference, findDifferences, formatDifference } from '../../output/differences.js';

export enum ChangeAction {
  Create = 'create',
  Update = 'update',
  Unchanged = 'unchanged',
}

export interface PlannedChange {
  action: ChangeAction;
  write: RecordWrite;
  differences: Difference[];
}

const chooseAction = (
  current: StoredRecord | undefined,
  differences: Difference[],
): ChangeAction => {
  if (current === undefined) return ChangeAction.Create;
  return differences.length === 0 ? ChangeAction.Unchanged : ChangeAction.Update;
};

const planChange = (
  { revision, ...record }: FileRecord,
  current: StoredRecord | undefined,
  expectedRevision?: number,
): PlannedChange => {
  const { schemaVersion, spec } = record;
  const differences = findDifferences(
    current === undefined ? {} : { schemaVersion: current.schemaVersion, spec: current.spec },
    { schemaVersion, spec },
  );
  return {
    action: chooseAction(current, differences),
    write: { ...record, expectedRevision: expectedRevision ?? revision ?? current?.revision ?? 0 },
    differences,
  };
};

/** Reads the current records and compares them with those of the file; writes nothing. */
export const planChanges = async (
  client: Client,
  records: readonly FileRecord[],
  expectedRevision?: number,
): Promise<Result<PlannedChange[], Fault>> => {
  const changes: PlannedChange[] = [];
  for (const record of records) {
    const current = await readRecordIfExists(client, record.kind, record.name);
    if (current.isErr()) return err(current.error);
    changes.push(planChange(record, current.value, expectedRevision));
  }
  return ok(changes);
};

/** Plans a write at a given revision without reading the current record. */
export const planAtRevision = (record: FileRecord, expectedRevision: number): PlannedChange => ({
  action: expectedRevision === 0 ? ChangeAction.Create : ChangeAction.Update,
  write: planChange(record, undefined, expectedRevision).write,
  differences: [],
});

/** Formats a plan as text. */
export const formatPlan = (changes: readonly PlannedChange[]): string =>
  changes
    .flatMap(({ action, write, differences }) => [
      `${action} ${write.kind} ${write.name} at revision ${write.expectedRevision}`,
      ...differences.map(formatDifference),
    ])
    .map((line) => `${line}\n`)
    .join('');
