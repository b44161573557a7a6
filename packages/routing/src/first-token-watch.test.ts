import test from 'ava';
import { VirtualTimer } from '@jujubelanding/timer';
import { FirstTokenWatch } from './index.js';

const TIMEOUT_MS = 400;

const createWatch = (online: number, batch = 0) => {
  const timer = new VirtualTimer();
  const load = { workerId: 'w', slots: 8, online, batch, ageMs: 0 };
  const latencies: number[] = [];
  const timeouts: number[] = [];
  const watch = new FirstTokenWatch({
    timer,
    silenceMs: TIMEOUT_MS,
    readLoad: () => load,
    onLatency: (latencyMs) => latencies.push(latencyMs),
    onTimeout: (sentAt) => timeouts.push(sentAt),
  });
  return { timer, load, watch, latencies, timeouts };
};

// Guards against ejecting workers with longer queues as slow when a burst hits too few workers.
test('queueing time does not count as latency of the worker', async (t) => {
  const queued = createWatch(9);
  await queued.timer.advance(300);
  queued.watch.recordToken();
  t.deepEqual(queued.latencies, []);
  const running = createWatch(8);
  await running.timer.advance(300);
  running.watch.recordToken();
  running.watch.recordToken();
  t.deepEqual(running.latencies, [300]);
});

// Guards against routing further requests to a worker that has become unreachable.
test('a timeout of a worker with free slots is reported once, and not after a token or the end of the request', async (t) => {
  const unanswered = createWatch(1);
  await unanswered.timer.advance(TIMEOUT_MS * 3);
  t.deepEqual(unanswered.timeouts, [0]);
  const answering = createWatch(1);
  answering.watch.recordToken();
  const ended = createWatch(1);
  ended.watch.end();
  for (const { timer } of [answering, ended]) await timer.advance(TIMEOUT_MS * 3);
  t.deepEqual([answering.timeouts, ended.timeouts], [[], []]);
});

test('a full worker does not time out', async (t) => {
  const full = createWatch(7, 2);
  await full.timer.advance(TIMEOUT_MS * 3);
  t.deepEqual(full.timeouts, []);
});
