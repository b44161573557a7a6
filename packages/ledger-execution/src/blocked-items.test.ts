// Guards against items that wait for a blocked part while workers are idle: no item was run to find out
// whether the workers still crash on it.
import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import type { Probe } from '@jujubelanding/prompt-quarantine';
import { createRefusal, createScheduler } from './fixtures/index.js';

/** A quarantine with one block, of the part that all items share. */
const createBlock = () => {
  const state = { isBlocked: true, isReserved: false, isLifted: false };
  const giveBack = (): void => {
    state.isReserved = true;
  };
  return {
    state,
    hasBlocks: true,
    isBlocked: () => !state.isLifted && !state.isReserved,
    listProbed: () => (state.isLifted ? [] : ['shared']),
    recordAnswer: () => {
      state.isLifted = true;
    },
    takeProbe: (): Probe | undefined => {
      if (!state.isReserved) return undefined;
      state.isReserved = false;
      return { giveBack };
    },
  };
};

test('one of the blocked items is run as the probe, and the others once it is answered', async (t) => {
  const quarantine = createBlock();
  let end = (): void => {};
  const { timer, scheduler, countWaiting, grant, sent, unfinished } = createScheduler({
    items: 3,
    workers: { w1: 's', w2: 's' },
    quarantine,
    answer: () =>
      new Promise((resolve) => {
        end = () => resolve(undefined);
      }),
  });
  scheduler.publishWaiting();
  t.is(countWaiting(), 0);
  quarantine.state.isReserved = true;
  scheduler.publishWaiting();
  t.is(countWaiting(), 1);
  grant('w1', 'w2');
  scheduler.publishWaiting();
  t.deepEqual([sent.length, countWaiting()], [1, 0], 'no second item before the answer');
  end();
  await timer.advance(1);
  scheduler.publishWaiting();
  t.deepEqual([unfinished.size, countWaiting()], [2, 2]);
});

test('the probe is given back if no worker has run the item, and is used up by a crash', async (t) => {
  const quarantine = createBlock();
  const crash = { code: FaultCode.Interrupted, outcome: Outcome.OutcomeUnknown, step: 'forward' };
  const faults = [createRefusal(), { ...crash, message: 'closed' }];
  const { timer, scheduler, grant, sent } = createScheduler({
    items: 3,
    workers: { w1: 's', w2: 's', w3: 's' },
    quarantine,
    answer: async () => faults.shift(),
  });
  quarantine.state.isReserved = true;
  grant('w1');
  await timer.advance(1);
  t.true(quarantine.state.isReserved);
  grant('w2');
  await timer.advance(1);
  t.false(quarantine.state.isReserved);
  grant('w3');
  t.is(sent.length, 2);
  scheduler.close();
});
