/** A trace in which operators write the same records and cancel the same jobs concurrently. */
import { JobStatus, RecordKind } from '@jujubelanding/types';
import { EventKind, INITIAL_REVISION } from '../trace/events.js';
import { ExpectationKind, RequestOutcome } from '../trace/expectations.js';
import { SVEPPASMIDJAN } from './deployments.js';
import { TraceWriter } from './trace-writer.js';

const ROUNDS = 5;

const CONCURRENT_OPERATORS = ['a', 'b', 'c'];

interface VersionWrite {
  id: string;
  at: number;
  via: string;
  name: string;
  expectedRevision: string;
}

const addVersionWrite = (writer: TraceWriter, write: VersionWrite): void =>
  writer.add({
    kind: EventKind.WriteRecord,
    ...write,
    recordKind: RecordKind.Version,
    schemaVersion: 1,
    spec: { weight: `weight-${write.id}` },
  });

/** Adds concurrent writes that create one record, and concurrent writes that replace another. */
const addConcurrentWrites = (writer: TraceWriter, round: number): void => {
  const createdName = `created-${round}`;
  const replacedName = `replaced-${round}`;
  const addConcurrent = (
    step: string,
    name: string,
    at: number,
    expectedRevision: string,
  ): void => {
    const events = CONCURRENT_OPERATORS.map((operator) => `${step}-${round}-${operator}`);
    events.forEach((id, index) => {
      const via = `entry-${(round + index * 3) % 8}`;
      addVersionWrite(writer, { id, at, via, name, expectedRevision });
    });
    writer.expect({ expect: ExpectationKind.OneWinner, events });
  };
  const at = 2000 + round * 5000;
  const settledId = `settled-${round}`;
  addConcurrent('create', createdName, at, INITIAL_REVISION);
  const settledWrite = { id: settledId, at, via: 'entry-7', expectedRevision: INITIAL_REVISION };
  addVersionWrite(writer, { ...settledWrite, name: replacedName });
  writer.expectOutcome(settledId, { outcome: RequestOutcome.Succeeded });
  addConcurrent('replace', replacedName, at + 2000, settledId);
};

const addCancelledJob = (writer: TraceWriter, index: number): void => {
  const id = `job-${index}`;
  const at = index * 6000;
  writer.addJob({
    id,
    at,
    via: `entry-${index}`,
    prompt: 'Plan the harvest',
    items: 1500,
    maxTokens: 30,
  });
  writer.expectOutcome(id, { outcome: RequestOutcome.Succeeded });
  ['a', 'b'].forEach((operator, position) => {
    const cancel = `cancel-${index}-${operator}`;
    const via = `entry-${(index + 2 + position) % 8}`;
    writer.add({ kind: EventKind.Cancel, id: cancel, at: at + 4000, via, job: id });
    writer.expectOutcome(cancel, { outcome: RequestOutcome.Succeeded });
    writer.expect({ expect: ExpectationKind.CancelBound, event: cancel, limitMs: 2000 });
  });
  writer.expect({
    expect: ExpectationKind.JobEnd,
    event: id,
    status: JobStatus.Cancelled,
    duplicates: 0,
  });
};

export const createRacingOperators = (): TraceWriter => {
  const writer = new TraceWriter(SVEPPASMIDJAN, {
    name: 'racing-operators',
    description: 'Operators race for records and cancel running jobs through several entry VMs',
    seed: 109,
    durationMs: 40_000,
  });
  for (let round = 0; round < ROUNDS; round += 1) addConcurrentWrites(writer, round);
  for (let index = 0; index < 3; index += 1) addCancelledJob(writer, index);
  writer.addCompletedJob({
    id: 'kept',
    at: 1000,
    via: 'entry-6',
    prompt: 'Plan the harvest of one bed',
    items: 300,
  });
  writer.expectInvariants();
  return writer;
};
