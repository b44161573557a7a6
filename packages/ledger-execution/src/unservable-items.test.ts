// Guards against items that no worker serves, for example because they need more memory than a worker has:
// each of their runs made its worker unavailable to all items, so that sound ones waited beside idle workers.
import test from 'ava';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { ReportedLoad } from '@jujubelanding/platform';
import { createRefusal, createScheduler, SERVICE, type Answer } from './fixtures/index.js';

/** Time in which all sound items have to be done. */
const DEADLINE_MS = 18_000;

const UNSERVABLE = 48;
const SOUND = 96;
const SLOTS = 8;
const RUN_MS = 500;
const PLAN_INTERVAL_MS = 50;

const WORKERS = Object.fromEntries(['w1', 'w2', 'w3', 'w4', 'w5', 'w6'].map((id) => [id, SERVICE]));

const isUnservable = (itemId: string): boolean => Number(itemId.split('-')[1]) < UNSERVABLE;

/** Grants the free slots of workers that are not avoided, and returns the items left after some time. */
const play = async (
  answer: (timer: { sleep: (ms: number) => Promise<void> }) => Answer,
  workers: Record<string, string> = WORKERS,
) => {
  const running = new Map<string, number>();
  const count = (id: string, change: number): void => {
    running.set(id, (running.get(id) ?? 0) + change);
  };
  const { timer, scheduler, published, countWaiting, grant, sent, unfinished } = createScheduler({
    items: UNSERVABLE + SOUND,
    workers,
    answer: async (workerId, itemId) => {
      count(workerId, 1);
      const fault = await answer(timer)(workerId, itemId);
      count(workerId, -1);
      return fault;
    },
  });
  for (let elapsedMs = 0; elapsedMs < DEADLINE_MS; elapsedMs += PLAN_INTERVAL_MS) {
    scheduler.publishWaiting();
    const free = Object.keys(workers)
      .filter((id) => !published.avoided.includes(id))
      .flatMap((id) => new Array<string>(SLOTS - (running.get(id) ?? 0)).fill(id));
    grant(...free.slice(0, countWaiting()));
    await timer.advance(PLAN_INTERVAL_MS);
  }
  scheduler.close();
  const left = [...unfinished.keys()];
  return {
    sound: left.filter((index) => index >= UNSERVABLE).length,
    unservable: left.filter((index) => index < UNSERVABLE).length,
    sends: sent.filter(([, itemId]) => isUnservable(itemId)).length,
  };
};

const FREE: ReportedLoad = { running: 0, waiting: 0, slots: SLOTS };

const INVALID: Fault = {
  code: FaultCode.InvalidStream,
  outcome: Outcome.OutcomeUnknown,
  step: 'run-item',
  message: 'the output is too long',
};

const FAULTS: Record<string, Fault> = {
  'refused by workers that report free slots': createRefusal(FREE),
  'refused by workers that report no load': createRefusal(),
  'answered with an invalid stream': INVALID,
};

/** An unservable item is run at once twice, and then with waits of up to 5 s. */
const MAX_SENDS_PER_ITEM = 2 + 5 + Math.ceil(DEADLINE_MS / 5000);

for (const [name, fault] of Object.entries(FAULTS)) {
  test(`items that are always ${name} do not keep other items from the workers`, async (t) => {
    const { sound, unservable, sends } = await play((timer) => async (_workerId, itemId) => {
      await timer.sleep(isUnservable(itemId) ? 10 : RUN_MS);
      return isUnservable(itemId) ? fault : undefined;
    });
    t.deepEqual({ sound, unservable }, { sound: 0, unservable: UNSERVABLE });
    t.true(sends <= UNSERVABLE * MAX_SENDS_PER_ITEM, `${sends} runs of unservable items`);
  });
}

test('neither do they if the service has a single worker', async (t) => {
  const { sound } = await play(
    (timer) => async (_workerId, itemId) => {
      await timer.sleep(isUnservable(itemId) ? 10 : RUN_MS);
      return isUnservable(itemId) ? createRefusal(FREE) : undefined;
    },
    { w1: SERVICE },
  );
  t.is(sound, 0);
});

// An idle worker that refuses everything has the most free slots.
test('a worker that refuses all items in spite of free slots does not keep them from the others', async (t) => {
  const { sound, unservable } = await play((timer) => async (workerId) => {
    await timer.sleep(workerId === 'w1' ? 10 : RUN_MS);
    return workerId === 'w1' ? createRefusal(FREE) : undefined;
  });
  t.deepEqual([sound, unservable], [0, 0]);
});

test('items that full workers refuse wait for the workers and not for themselves', async (t) => {
  let isFull = true;
  const full = { running: SLOTS, waiting: 2, slots: SLOTS };
  const { sound, unservable } = await play((timer) => {
    timer.sleep(5000).then(() => {
      isFull = false;
    });
    return async () => {
      await timer.sleep(isFull ? 10 : RUN_MS);
      return isFull ? createRefusal(full) : undefined;
    };
  });
  t.deepEqual([sound, unservable], [0, 0]);
});

const UNSENDABLE: Fault = {
  code: FaultCode.InvalidInput,
  outcome: Outcome.NotRun,
  step: 'forward',
  message: 'invalid x-note header',
};

// Such an item was run again at once until its lifetime ended, and each run counted against its worker.
test('an item that HTTP cannot carry is given up after one try, without blame on its worker', async (t) => {
  const { timer, scheduler, published, grant, sent, unfinished } = createScheduler({
    items: 4,
    workers: { w1: SERVICE },
    answer: (_workerId, itemId) => Promise.resolve(itemId === 'item-3' ? undefined : UNSENDABLE),
  });
  for (let plans = 0; plans < 10; plans += 1) {
    grant('w1');
    await timer.advance(PLAN_INTERVAL_MS);
    scheduler.publishWaiting();
    t.deepEqual(published.avoided, []);
  }
  t.deepEqual(
    sent.map(([, itemId]) => itemId),
    ['item-0', 'item-1', 'item-2', 'item-3'],
  );
  t.is(unfinished.size, 0);
  scheduler.close();
});
