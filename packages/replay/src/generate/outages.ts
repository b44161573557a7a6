/** Traces with lost machines, an unreachable key-value service and faulty disks. */
import { RecordKind } from '@jujubelanding/types';
import { EventKind, INITIAL_REVISION, Unreachability } from '../trace/events.js';
import { ExpectationKind, RequestOutcome } from '../trace/expectations.js';
import { GLASS_TRADERS, SVEPPASMIDJAN } from './deployments.js';
import { TraceWriter } from './trace-writer.js';

const addVersionWrite = (
  writer: TraceWriter,
  { id, at, via, name }: { id: string; at: number; via: string; name: string },
): void =>
  writer.add({
    kind: EventKind.WriteRecord,
    id,
    at,
    via,
    recordKind: RecordKind.Version,
    name,
    schemaVersion: 1,
    spec: { weight: `weight-${id}` },
    expectedRevision: INITIAL_REVISION,
  });

export const createZoneLoss = (): TraceWriter => {
  const writer = new TraceWriter(GLASS_TRADERS, {
    name: 'zone-loss',
    description: 'All machines of jhb-west are lost during a job, orders and questions',
    seed: 106,
    durationMs: 75_000,
  });
  const prompt = 'Write an offer for a window';
  writer.addCompletedJob({ id: 'job', at: 0, via: 'entry-1', prompt, items: 700, failing: [99] });
  // Sent through the lost zone right before the loss, and resent through another zone.
  const lateJob = writer.addJob({ id: 'late-job', at: 3990, via: 'entry-5', prompt, items: 200 });
  writer.add({ kind: EventKind.Resend, id: 'resent', at: 12_000, via: 'entry-2', job: 'late-job' });
  writer.expectOutcome('resent', { outcome: RequestOutcome.Succeeded });
  writer.expectCompleted(lateJob);
  writer.addOrder({ id: 'order', at: 3995, via: 'entry-1', key: 'order-1' });
  writer.addOrder({ id: 'order-again', at: 8000, via: 'entry-2', key: 'order-1' });
  writer.expect({ expect: ExpectationKind.Executions, key: 'order-1', atMost: 1 });
  writer.addChat({
    id: 'cut-off',
    at: 3500,
    via: 'entry-5',
    prompt: 'A long answer',
    maxTokens: 100,
  });
  writer.expectOutcome('cut-off', { outcome: RequestOutcome.OutcomeUnknown });
  const zone = { availabilityZone: 'jhb-west' };
  writer.add({ kind: EventKind.LoseZone, id: 'loss', at: 4000, ...zone });
  writer.addChat({ id: 'refused', at: 5000, via: 'entry-1', prompt: 'Hello' });
  writer.expectOutcome('refused', { outcome: RequestOutcome.NotRun });
  for (let i = 0; i < 30; i += 1) {
    const via = ['entry-0', 'entry-2', 'entry-3', 'entry-4', 'entry-6'][i % 5]!;
    writer.addAnsweredChat({ id: `question-${i}`, at: 3700 + i * 700, via, prompt: 'Glass' });
  }
  writer.add({ kind: EventKind.RestoreZone, id: 'restore', at: 45_000, ...zone });
  writer.addAnsweredChat({ id: 'back', at: 60_000, via: 'entry-5', prompt: 'Good morning' });
  writer.add({ kind: EventKind.ReadResults, id: 'read', at: 70_000, via: 'entry-1', job: 'job' });
  writer.expectOutcome('read', { status: 200 });
  writer.expectInvariants();
  return writer;
};

const addOutageEvents = (writer: TraceWriter): void => {
  writer.add({
    kind: EventKind.KeyValueLossy,
    id: 'lossy',
    at: 5000,
    lostReplyChance: 0.3,
    lostRequestChance: 0.1,
  });
  writer.add({ kind: EventKind.KeyValueDown, id: 'down', at: 15_000, mode: Unreachability.Cut });
  const restarted = { entryVm: 'entry-6' };
  writer.add({ kind: EventKind.CrashEntryVm, id: 'crash', at: 18_000, ...restarted });
  writer.add({ kind: EventKind.StartEntryVm, id: 'start', at: 20_000, ...restarted });
  writer.add({ kind: EventKind.KeyValueUp, id: 'up', at: 32_000 });
  writer.add({
    kind: EventKind.KeyValueSlow,
    id: 'slow',
    at: 32_001,
    floorMs: 50,
    meanExtraMs: 100,
  });
  writer.add({ kind: EventKind.KeyValueUp, id: 'fast', at: 42_000 });
};

const addLossyOrders = (writer: TraceWriter): void => {
  for (let index = 0; index < 12; index += 1) {
    const key = `lossy-order-${index}`;
    const again = `entry-${(index + 1) % 7}`;
    writer.addOrder({ id: key, at: 6000 + index * 600, via: `entry-${index % 7}`, key });
    writer.addOrder({ id: `${key}-again`, at: 45_000 + index * 100, via: again, key });
    writer.expect({ expect: ExpectationKind.Executions, key, atMost: 1 });
  }
};

const addWrites = (writer: TraceWriter): void => {
  addVersionWrite(writer, { id: 'write-before', at: 2000, via: 'entry-0', name: 'v2' });
  addVersionWrite(writer, { id: 'write-after', at: 50_000, via: 'entry-6', name: 'v3' });
  ['write-before', 'write-after'].forEach((event) =>
    writer.expect({ expect: ExpectationKind.ConfigurationInForce, event, limitMs: 4000 }),
  );
};

export const createKeyValueOutage = (): TraceWriter => {
  const writer = new TraceWriter(GLASS_TRADERS, {
    name: 'key-value-outage',
    description: 'Lost replies of the key-value service, then an outage, then slow answers',
    seed: 107,
    durationMs: 60_000,
  });
  const prompt = 'Review the stock of one pane';
  addOutageEvents(writer);
  writer.addCompletedJob({ id: 'before', at: 1000, via: 'entry-0', prompt, items: 900 });
  const lossyJob = writer.addJob({
    id: 'in-loss',
    at: 8000,
    via: 'entry-1',
    prompt,
    items: 100,
  });
  writer.add({ kind: EventKind.Resend, id: 'resent', at: 44_000, via: 'entry-4', job: 'in-loss' });
  writer.expectOutcome('resent', { outcome: RequestOutcome.Succeeded });
  writer.expectCompleted(lossyJob);
  writer.addJob({ id: 'in-outage', at: 22_000, via: 'entry-2', prompt, items: 50 });
  writer.expectOutcome('in-outage', { outcome: RequestOutcome.NotRun });
  writer.addOrder({ id: 'order-in-outage', at: 23_000, via: 'entry-3', key: 'order-1' });
  writer.expectOutcome('order-in-outage', { outcome: RequestOutcome.NotRun });
  addLossyOrders(writer);
  addWrites(writer);
  for (let index = 0; index < 40; index += 1) {
    const via = `entry-${index % 6}`;
    writer.addAnsweredChat({
      id: `question-${index}`,
      at: 4000 + index * 900,
      via,
      prompt: 'Glass',
    });
  }
  writer.expectInvariants();
  return writer;
};

export const createDiskTrouble = (): TraceWriter => {
  const writer = new TraceWriter(SVEPPASMIDJAN, {
    name: 'disk-trouble',
    description:
      'A full disk, a corrupt segment, a paused entry VM and a one-way link cut in a job',
    seed: 108,
    durationMs: 50_000,
  });
  const prompt = 'Plan the harvest of one bed';
  writer.addCompletedJob({ id: 'first', at: 0, via: 'entry-4', prompt, items: 800 });
  writer.add({
    kind: EventKind.CorruptSegment,
    id: 'corrupt',
    at: 1500,
    entryVm: 'entry-1',
    position: 0,
  });
  writer.add({ kind: EventKind.FillDisk, id: 'full', at: 2000, entryVm: 'entry-0' });
  writer.addCompletedJob({ id: 'second', at: 3000, via: 'entry-5', prompt, items: 400 });
  writer.add({ kind: EventKind.PauseEntryVm, id: 'pause', at: 5000, entryVm: 'entry-7' });
  writer.add({ kind: EventKind.CutLink, id: 'cut', at: 6000, from: 'entry-4', to: 'entry-3' });
  writer.add({ kind: EventKind.ResumeEntryVm, id: 'resume', at: 16_000, entryVm: 'entry-7' });
  writer.add({ kind: EventKind.HealLink, id: 'heal', at: 20_000, from: 'entry-4', to: 'entry-3' });
  writer.add({ kind: EventKind.FreeDisk, id: 'free', at: 25_000, entryVm: 'entry-0' });
  writer.add({ kind: EventKind.ReadResults, id: 'read', at: 45_000, via: 'entry-6', job: 'first' });
  writer.expectOutcome('read', { status: 200 });
  for (let index = 0; index < 20; index += 1) {
    const via = `entry-${index % 7}`;
    writer.addAnsweredChat({
      id: `question-${index}`,
      at: 4000 + index * 900,
      via,
      prompt: 'Beds',
    });
  }
  writer.expectInvariants();
  return writer;
};
