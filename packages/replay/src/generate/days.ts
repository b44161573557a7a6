/** Traces of ordinary days: questions and orders by day, batch jobs in the evening. */
import { createRandom, type Random } from '@jujubelanding/random';
import { RecordKind } from '@jujubelanding/types';
import { EventKind, INITIAL_REVISION } from '../trace/events.js';
import { ExpectationKind, RequestOutcome } from '../trace/expectations.js';
import { GLASS_TRADERS, SVEPPASMIDJAN } from './deployments.js';
import { TraceWriter } from './trace-writer.js';

const DAYTIME_MS = 30_000;

interface DayLoad {
  questions: number;
  orders: number;
  subjects: string[];
}

const chooseVia = (random: Random, writer: TraceWriter): string =>
  `entry-${random.nextInt(writer.header.entryVms.count)}`;

const addQuestions = (
  writer: TraceWriter,
  random: Random,
  { questions, subjects }: DayLoad,
): void => {
  for (let index = 0; index < questions; index += 1) {
    writer.addAnsweredChat({
      id: `question-${index}`,
      at: random.nextInt(DAYTIME_MS),
      via: chooseVia(random, writer),
      prompt: `${random.pick(subjects)}, customer ${index}`,
      stream: index % 4 !== 0,
    });
  }
};

const addOrders = (writer: TraceWriter, random: Random, { orders }: DayLoad): void => {
  for (let index = 0; index < orders; index += 1) {
    const id = `order-${index}`;
    const at = random.nextInt(DAYTIME_MS);
    writer.addOrder({ id, at, via: chooseVia(random, writer), key: id });
    writer.expectOutcome(id, { outcome: RequestOutcome.Succeeded, status: 200 });
    if (index % 5 === 0) {
      // An order repeated through another entry VM is refused, because its key has been claimed.
      const resentId = `${id}-again`;
      writer.addOrder({ id: resentId, at: at + 1500, via: chooseVia(random, writer), key: id });
      writer.expectOutcome(resentId, { status: 409 });
    }
    writer.expect({ expect: ExpectationKind.Executions, key: id, atMost: 1 });
  }
};

const addRecordWrite = (writer: TraceWriter, at: number): void => {
  writer.add({
    kind: EventKind.WriteRecord,
    id: 'new-version',
    at,
    via: 'entry-1',
    recordKind: RecordKind.Version,
    name: 'v2',
    schemaVersion: 1,
    spec: { weight: 'weight-2' },
    expectedRevision: INITIAL_REVISION,
  });
  writer.expectOutcome('new-version', { outcome: RequestOutcome.Succeeded });
  writer.expect({
    expect: ExpectationKind.ConfigurationInForce,
    event: 'new-version',
    limitMs: 4000,
  });
};

const addDay = (writer: TraceWriter, day: DayLoad): void => {
  const random = createRandom(writer.header.seed);
  addQuestions(writer, random, day);
  addOrders(writer, random, day);
  addRecordWrite(writer, DAYTIME_MS / 2);
  writer.expectFirstTokenBound();
  writer.expectInvariants();
};

export const createGlassTradersDay = (): TraceWriter => {
  const writer = new TraceWriter(GLASS_TRADERS, {
    name: 'glass-traders-day',
    description: 'Ordinary day: questions and stock orders by day, two jobs in the evening',
    seed: 101,
    durationMs: 50_000,
  });
  addDay(writer, {
    questions: 60,
    orders: 25,
    subjects: ['Which glass fits a shower door', 'Is float glass in stock', 'Cut a table top'],
  });
  writer.addCompletedJob({
    id: 'offers',
    at: DAYTIME_MS,
    via: 'entry-2',
    prompt: 'Write an offer for a window',
    items: 400,
    failing: [17, 230],
  });
  // A caller that missed the acknowledgement resends the whole job.
  writer.add({
    kind: EventKind.Resend,
    id: 'offers-again',
    at: DAYTIME_MS + 2000,
    via: 'entry-6',
    job: 'offers',
  });
  writer.expect({ expect: ExpectationKind.SameJob, events: ['offers', 'offers-again'] });
  writer.addCompletedJob({
    id: 'stock-review',
    at: DAYTIME_MS + 1000,
    via: 'entry-5',
    prompt: 'Review the stock of one pane',
    items: 250,
  });
  return writer;
};

export const createSveppasmidjanDay = (): TraceWriter => {
  const writer = new TraceWriter(SVEPPASMIDJAN, {
    name: 'sveppasmidjan-day',
    description: 'Ordinary day: a few questions and orders by day, three large jobs in the evening',
    seed: 102,
    durationMs: 50_000,
  });
  addDay(writer, {
    questions: 40,
    orders: 20,
    subjects: ['Which mushrooms grow on straw', 'How moist is the substrate', 'When to harvest'],
  });
  [600, 500, 400].forEach((items, index) => {
    writer.addCompletedJob({
      id: `harvest-plan-${index}`,
      at: DAYTIME_MS + index * 700,
      via: `entry-${index * 2}`,
      prompt: 'Plan the harvest of one bed',
      items,
      failing: index === 1 ? [3] : [],
    });
  });
  return writer;
};
