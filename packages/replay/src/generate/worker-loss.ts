/** A trace in which workers crash with requests in progress. */
import { EventKind } from '../trace/events.js';
import { ExpectationKind, RequestOutcome } from '../trace/expectations.js';
import { listWorkers } from '../trace/header.js';
import { GLASS_TRADERS } from './deployments.js';
import { TraceWriter } from './trace-writer.js';

const CRASHED_AT = 6000;

const RESTARTED_AT = 10_000;

/** Slows the plain service down to half a second per order and crashes its workers before that. */
const addPlainServiceLoss = (writer: TraceWriter): void => {
  for (const worker of listWorkers(GLASS_TRADERS.plainService)) {
    writer.add({ kind: EventKind.SlowWorker, id: `slow-${worker}`, at: 1000, worker, factor: 100 });
    writer.add({ kind: EventKind.CrashWorker, id: `crash-${worker}`, at: CRASHED_AT, worker });
    const restart = { id: `restart-${worker}`, at: RESTARTED_AT, worker };
    writer.add({ kind: EventKind.RestartWorker, ...restart });
  }
  for (let index = 0; index < 7; index += 1) {
    const key = `order-${index}`;
    writer.addOrder({ id: key, at: CRASHED_AT - 250, via: `entry-${index}`, key });
    writer.expectOutcome(key, { outcome: RequestOutcome.OutcomeUnknown });
    writer.addOrder({ id: `${key}-again`, at: 12_000, via: `entry-${(index + 3) % 7}`, key });
    writer.expectOutcome(`${key}-again`, { status: 409 });
    writer.expect({ expect: ExpectationKind.Executions, key, atMost: 1 });
    writer.addOrder({
      id: `${key}-refused`,
      at: 7500,
      via: `entry-${index}`,
      key: `refused-${index}`,
    });
    writer.expectOutcome(`${key}-refused`, { outcome: RequestOutcome.NotRun });
  }
};

const addEngineLoss = (writer: TraceWriter): void => {
  const workers = listWorkers(GLASS_TRADERS.engine);
  workers.slice(0, 3).forEach((worker) => {
    writer.add({ kind: EventKind.CrashWorker, id: `crash-${worker}`, at: CRASHED_AT, worker });
    const restart = { id: `restart-${worker}`, at: RESTARTED_AT, worker };
    writer.add({ kind: EventKind.RestartWorker, ...restart });
  });
  for (let index = 0; index < 21; index += 1) {
    const id = `question-${index}`;
    const via = `entry-${index % 7}`;
    const stream = index % 2 === 0;
    const at = CRASHED_AT - 1000 + index * 10;
    writer.addAnsweredChat({ id, at, via, prompt: `Glass ${index}`, maxTokens: 60, stream });
  }
};

export const createWorkerLoss = (): TraceWriter => {
  const writer = new TraceWriter(GLASS_TRADERS, {
    name: 'worker-loss',
    description: 'All stock-ledger workers and half of the engines die with requests in progress',
    seed: 110,
    durationMs: 30_000,
  });
  writer.addCompletedJob({
    id: 'job',
    at: 0,
    via: 'entry-6',
    prompt: 'Write an offer for a window',
    items: 700,
  });
  addPlainServiceLoss(writer);
  addEngineLoss(writer);
  writer.expectInvariants();
  return writer;
};
