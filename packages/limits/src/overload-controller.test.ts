import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import type { Directory, WorkerLoads } from '@jujubelanding/interfaces';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { createRandom } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { OverloadController } from './index.js';

const setUp = (maxOnlineInFlight = 100, maxWaiting = 5) => {
  const timer = new VirtualTimer();
  const load = { online: 0 };
  const controller = new OverloadController({
    io: { timer, random: createRandom(1), createLog: () => silentLog, metrics: silentMetrics },
    maxOnlineInFlight,
    directory: { workersOf: () => [{ id: 'w1' }, { id: 'w2' }] } as unknown as Directory,
    loads: {
      get: (workerId) => ({ workerId, slots: 4, batch: 0, ageMs: 0, online: load.online }),
    } as WorkerLoads,
    bounds: { maxWaiting },
  });
  controller.start();
  const admit = () => controller.admit('advisor', new AbortController().signal);
  return { timer, load, controller, admit };
};

test('a full VM lets requests wait, in order, until one ends', async (t) => {
  const { timer, admit } = setUp(1);
  const first = await admit();
  const order: number[] = [];
  const waiting = [1, 2].map((number) =>
    admit().then((result) => {
      order.push(number);
      return result;
    }),
  );
  await timer.advance(100);
  t.deepEqual(order, []);
  first.map((permit) => permit.release());
  await timer.flushPromises();
  t.deepEqual(order, [1]);
  (await waiting[0]!).map((permit) => permit.release());
  t.true((await waiting[1]!).isOk());
});

test('full workers cause a refusal with a retry time after a bounded wait', async (t) => {
  const { timer, load, admit } = setUp();
  load.online = 5;
  const refused = admit();
  await timer.advance(1051);
  const fault = (await refused).match(
    () => undefined,
    (error) => error,
  );
  t.like(fault, { code: FaultCode.Overloaded, outcome: Outcome.NotRun });
  t.true(fault!.retryAfterMs! >= 500);
});

test('the queue is bounded, and a caller that disconnects is removed from it', async (t) => {
  const { load, controller, admit } = setUp(100, 2);
  load.online = 5;
  const abortController = new AbortController();
  const cancelled = controller.admit('advisor', abortController.signal);
  const waiting = admit();
  t.true((await admit()).isErr());
  abortController.abort();
  t.true((await cancelled).isErr());
  const next = admit();
  controller.stop();
  t.true((await waiting).isErr());
  t.true((await next).isErr());
});

test('when load drops because of other VMs, no more requests than the free capacity are admitted', async (t) => {
  const { timer, load, admit } = setUp(100, 20);
  load.online = 5;
  const results: boolean[] = [];
  const waiting = Array.from({ length: 20 }, admit);
  const recordResult = (result: Awaited<ReturnType<typeof admit>>) => results.push(result.isOk());
  waiting.forEach((result) => result.then(recordResult));
  await timer.advance(20);
  // With 8 slots and the default bound of 1.25 the workers are full at 10 requests.
  load.online = 4;
  await timer.advance(50);
  t.deepEqual(results, [true, true]);
});
