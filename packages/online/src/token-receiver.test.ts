import test from 'ava';
import { Idempotency } from '@jujubelanding/types';
import { Fleet } from './fixtures/fleet.js';

test('an answer whose token receiver throws is rejected rather than completed without the token', async (t) => {
  const fleet = new Fleet(9);
  const generation = {
    requestId: fleet.random.createId(),
    model: 'base',
    messages: [{ role: 'user', content: 'question' }],
    maxTokens: 8,
  };
  let calls = 0;
  const answer = fleet.dispatcher.generate(
    { generation, idempotency: Idempotency.Idempotent, team: 'team', deadline: 60_000 },
    () => {
      calls += 1;
      throw new Error('receiver');
    },
    new AbortController().signal,
  );
  const thrown = t.throwsAsync(answer, { message: 'receiver' });
  await fleet.timer.advance(20_000);
  await thrown;
  t.is(calls, 1);
  t.is(fleet.dispatcher.inFlight(), 0);
  t.true([...fleet.inFlight.values()].every((count) => count === 0));
  t.true(fleet.engines.every((engine) => engine.countRunning() === 0));
});
