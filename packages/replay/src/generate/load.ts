/** Traces with changes in load or capacity: online bursts, a planned stop, leaving workers. */
import { EventKind } from '../trace/events.js';
import { ExpectationKind, RequestOutcome } from '../trace/expectations.js';
import { GLASS_TRADERS, SVEPPASMIDJAN } from './deployments.js';
import { TraceWriter } from './trace-writer.js';

const addBurst = (writer: TraceWriter, id: string, at: number): void => {
  const count = 40;
  const maxTokens = 12;
  writer.add({
    kind: EventKind.Burst,
    id,
    at,
    model: GLASS_TRADERS.model,
    prompt: 'Is this pane in stock',
    maxTokens,
    count,
    // Much shorter than `limitMs`, which counts from the first request.
    overMs: 20,
  });
  writer.expect({
    expect: ExpectationKind.Burst,
    event: id,
    succeeded: count,
    tokensEach: maxTokens,
  });
  writer.expect({ expect: ExpectationKind.YieldBound, event: id, limitMs: 100 });
};

export const createBurstOverBatch = (): TraceWriter => {
  const writer = new TraceWriter(GLASS_TRADERS, {
    name: 'burst-over-batch',
    description: 'Two online bursts arrive while a night job occupies the workers',
    seed: 103,
    durationMs: 35_000,
  });
  writer.addCompletedJob({
    id: 'night-job',
    at: 0,
    via: 'entry-0',
    prompt: 'Write an offer for a window',
    items: 1200,
    maxTokens: 20,
  });
  addBurst(writer, 'burst-0', 6000);
  addBurst(writer, 'burst-1', 14_000);
  writer.expectFirstTokenBound();
  writer.expectInvariants();
  return writer;
};

export const createPlannedStop = (): TraceWriter => {
  const writer = new TraceWriter(SVEPPASMIDJAN, {
    name: 'planned-stop',
    description: 'An entry VM is stopped with streams in progress, and started again later',
    seed: 104,
    durationMs: 42_000,
  });
  const via = 'entry-3';
  writer.addCompletedJob({
    id: 'job',
    at: 0,
    via,
    prompt: 'Plan the harvest of one bed',
    items: 800,
  });
  for (let index = 0; index < 6; index += 1) {
    const id = `long-${index}`;
    const prompt = `Explain the growth of mushrooms, part ${index}`;
    writer.addAnsweredChat({ id, at: 2000 + index * 1400, via, prompt, maxTokens: 200 });
  }
  writer.add({ kind: EventKind.StopEntryVm, id: 'stop', at: 5000, entryVm: via });
  writer.addAnsweredChat({ id: 'late', at: 9500, via, prompt: 'One more question' });
  writer.addChat({ id: 'after-stop', at: 28_000, via, prompt: 'Is anybody there' });
  writer.expectOutcome('after-stop', { outcome: RequestOutcome.NotRun });
  writer.add({ kind: EventKind.StartEntryVm, id: 'start', at: 30_000, entryVm: via });
  writer.addAnsweredChat({ id: 'back', at: 38_000, via, prompt: 'Good morning' });
  writer.expect({ expect: ExpectationKind.PlannedStop, event: 'stop', cutOff: 0 });
  writer.expectInvariants();
  return writer;
};

const addLeavingWorker = (writer: TraceWriter, worker: string, at: number): void => {
  const id = `leave-${worker}`;
  writer.add({ kind: EventKind.LeaveWorker, id, at, worker });
  writer.expect({ expect: ExpectationKind.LeavingBound, event: id, limitMs: 2000 });
};

const addWorkerEvents = (writer: TraceWriter): void => {
  const worker = 'glass-advisor-4';
  addLeavingWorker(writer, 'glass-advisor-2', 4000);
  addLeavingWorker(writer, 'stock-ledger-1', 5000);
  writer.add({
    kind: EventKind.SlowWorker,
    id: 'slow',
    at: 6000,
    worker: 'glass-advisor-5',
    factor: 2,
  });
  writer.add({ kind: EventKind.CrashWorker, id: 'crash', at: 9000, worker });
  writer.add({ kind: EventKind.ReturnWorker, id: 'return', at: 14_000, worker: 'glass-advisor-2' });
  writer.add({ kind: EventKind.RestartWorker, id: 'restart', at: 16_000, worker });
};

export const createLeavingWorker = (): TraceWriter => {
  const writer = new TraceWriter(GLASS_TRADERS, {
    name: 'leaving-worker',
    description: 'Two workers leave during a job and questions; one returns, one crashes',
    seed: 105,
    durationMs: 40_000,
  });
  writer.addCompletedJob({
    id: 'job',
    at: 0,
    via: 'entry-1',
    prompt: 'Write an offer for a window',
    items: 900,
  });
  for (let index = 0; index < 30; index += 1) {
    const id = `question-${index}`;
    const via = `entry-${index % 7}`;
    writer.addAnsweredChat({
      id,
      at: 1000 + index * 500,
      via,
      prompt: 'Which glass fits',
      stream: true,
    });
  }
  addWorkerEvents(writer);
  for (let index = 0; index < 10; index += 1) {
    const id = `order-${index}`;
    writer.addOrder({ id, at: 5000 + index * 600, via: `entry-${index % 7}`, key: id });
    writer.expectOutcome(id, { outcome: RequestOutcome.Succeeded });
  }
  writer.expectInvariants();
  return writer;
};
