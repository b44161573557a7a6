import test from 'ava';
import { VirtualTimer } from '@jujubelanding/timer';
import { FirstTokenWatch } from './index.js';

const SILENCE_MS = 400;

const createWatch = (online: number, batch = 0) => {
  const timer = new VirtualTimer();
  const load = { workerId: 'w', slots: 8, online, batch, ageMs: 0 };
  const latencies: number[] = [];
  const silences: number[] = [];
  const watch = new FirstTokenWatch({
    timer,
    silenceMs: SILENCE_MS,
    readLoad: () => load,
    onLatency: (latencyMs) => latencies.push(latencyMs),
    onTimeout: (sentAt) => silences.push(sentAt),
  });
  return { timer, load, watch, latencies, silences };
};

// Guards against the burst on too few workers: those with the longer queue were ejected as slow.
test('time in a queue is no latency of the worker', async (t) => {
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

// Guards against requests that keep going to a worker which has become unreachable.
test('silence of a worker with free slots is reported once, and not after a token or the end', async (t) => {
  const silent = createWatch(1);
  await silent.timer.advance(SILENCE_MS * 3);
  t.deepEqual(silent.silences, [0]);
  const answering = createWatch(1);
  answering.watch.recordToken();
  const ended = createWatch(1);
  ended.watch.end();
  for (const { timer } of [answering, ended]) await timer.advance(SILENCE_MS * 3);
  t.deepEqual([answering.silences, ended.silences], [[], []]);
});

test('a full worker may be silent', async (t) => {
  const full = createWatch(7, 2);
  await full.timer.advance(SILENCE_MS * 3);
  t.deepEqual(full.silences, []);
});
