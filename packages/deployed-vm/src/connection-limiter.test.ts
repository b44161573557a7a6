import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import type { ForwardedRequest, WorkerResponse } from '@jujubelanding/platform';
import { VmState, type Worker } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import { computeConnectionLimit, ConnectionLimiter } from './connection-limiter.js';

const worker: Worker = {
  id: 'w',
  service: 's',
  address: 'w:1',
  availabilityZone: 'a',
  state: VmState.Live,
};

const RECEIVER = { onStart: () => {}, onChunk: () => true };

const ANSWER: WorkerResponse = { status: 200, headers: {}, load: undefined };

test('the limits of all VMs together stay within the connection limit of a worker', (t) => {
  t.is(computeConnectionLimit(300, 7), 38);
  t.is(computeConnectionLimit(100, 7), 12);
  t.is(computeConnectionLimit(100, 410), 4);
});

// Without a limit per VM, workers reset connections because all VMs together opened too many.
test('a request beyond the limit is refused as not run, and a connection is free again after a response', async (t) => {
  const answers: (() => void)[] = [];
  const limiter = new ConnectionLimiter({
    backends: {
      forward: () =>
        new Promise((resolve) => {
          answers.push(() => resolve(ok(ANSWER)));
        }),
      close: () => Promise.resolve(),
    },
    maxConnectionsOf: () => 10,
    countEntryVms: () => 2,
  });
  const { signal } = new AbortController();
  const send = () => limiter.forward(worker, {} as ForwardedRequest, RECEIVER, signal);
  const sent = Array.from({ length: 4 }, send);
  const refused = await send();
  t.like(refused.isErr() && refused.error, {
    code: FaultCode.Overloaded,
    outcome: Outcome.NotRun,
  });
  answers.shift()!();
  t.true((await sent[0]!).isOk());
  const next = send();
  answers.forEach((answer) => answer());
  t.true((await next).isOk());
});
