import test, { type ExecutionContext } from 'ava';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { computeAnswer, Reachability, type StreamFaults } from '@jujubelanding/stand-ins';
import { Idempotency } from '@jujubelanding/types';
import type { Result } from 'neverthrow';
import { STALL_TIMEOUT_MS } from './attempt.js';
import { Fleet } from './fixtures/fleet.js';

const getFault = <T>(result: Result<T, Fault>): Fault | undefined =>
  result.isErr() ? result.error : undefined;

const assertComplete = (
  t: ExecutionContext,
  stream: Pick<ReturnType<Fleet['generate']>, 'generation' | 'tokens'>,
): void => {
  const { tokens } = computeAnswer(stream.generation);
  t.deepEqual(
    stream.tokens.map(({ text }) => text),
    tokens,
  );
  t.deepEqual(
    stream.tokens.map(({ index }) => index),
    tokens.map((_, index) => index),
  );
  t.true(stream.tokens.every(({ requestId }) => requestId === stream.generation.requestId));
};

const STREAM_FAULTS: (keyof StreamFaults)[] = [
  'breakChance',
  'wrongIdChance',
  'swapChance',
  'gapChance',
  'truncateChance',
];

for (const fault of STREAM_FAULTS) {
  test(`answers are complete, in order and of their own request under ${fault}`, async (t) => {
    const fleet = new Fleet(1);
    fleet.engines[0]!.streamFaults[fault] = 1;
    fleet.engines[1]!.streamFaults[fault] = 0.2;
    const streams = Array.from({ length: 30 }, () => fleet.generate());
    await fleet.timer.advance(30_000);
    let completed = 0;
    for (const stream of streams) {
      const answer = await stream.answer;
      if (answer.isErr()) continue;
      completed += 1;
      assertComplete(t, stream);
    }
    t.is(completed, 30);
    t.true([...fleet.inFlight.values()].every((count) => count === 0));
  });
}

test('when a worker crashes mid-stream, each token arrives once, the rest from another worker', async (t) => {
  const fleet = new Fleet(2);
  const streams = Array.from({ length: 12 }, () => fleet.generate({ maxTokens: 30 }));
  await fleet.timer.advance(300);
  t.true(streams.every(({ tokens }) => tokens.length > 0));
  fleet.engines[0]!.crash();
  await fleet.timer.advance(10_000);
  for (const stream of streams) {
    t.true((await stream.answer).isOk());
    assertComplete(t, stream);
  }
});

test('streams of a worker that hangs without closing them resume elsewhere', async (t) => {
  const fleet = new Fleet(3);
  const streams = Array.from({ length: 6 }, () => fleet.generate({ maxTokens: 30 }));
  await fleet.timer.advance(300);
  fleet.engines[0]!.pause();
  await fleet.timer.advance(15_000);
  for (const stream of streams) {
    t.true((await stream.answer).isOk());
    assertComplete(t, stream);
  }
});

test('a non-idempotent generation whose stream breaks is not retried', async (t) => {
  const fleet = new Fleet(4);
  fleet.engines.forEach((engine) => {
    engine.streamFaults.breakChance = 1;
  });
  const stream = fleet.generate({}, Idempotency.NonIdempotent);
  await fleet.timer.advance(10_000);
  const fault = getFault(await stream.answer);
  t.like(fault, { code: FaultCode.Interrupted, outcome: Outcome.OutcomeUnknown });
  t.is(stream.tokens.length, 3);
});

test('a rejection before execution is retried for non-idempotent calls too', async (t) => {
  const fleet = new Fleet(5);
  fleet.services[0]!.responseFaults.refusalChance = 1;
  fleet.services[1]!.faults.reachability = Reachability.Refusing;
  const calls = Array.from({ length: 10 }, () => fleet.call(Idempotency.NonIdempotent));
  await fleet.timer.advance(5000);
  for (const { request, answer } of calls) {
    t.true((await answer).isOk());
    t.is(fleet.countExecutions(request.requestId), 1);
  }
});

test('a non-idempotent call whose answer is lost runs at most once, with unknown outcome', async (t) => {
  const fleet = new Fleet(6);
  fleet.services.forEach(({ faults }) => {
    faults.lostReplyChance = 1;
  });
  const { request, answer } = fleet.call(Idempotency.NonIdempotent);
  await fleet.timer.advance(61_000);
  t.is(getFault(await answer)?.outcome, Outcome.OutcomeUnknown);
  t.is(fleet.countExecutions(request.requestId), 1);
});

test('an answer with the id of another request is not delivered', async (t) => {
  const fleet = new Fleet(7);
  fleet.services.forEach(({ responseFaults }) => {
    responseFaults.wrongIdChance = 1;
  });
  const once = fleet.call(Idempotency.NonIdempotent);
  const repeated = fleet.call(Idempotency.Idempotent);
  await fleet.timer.advance(5000);
  const expected = { code: FaultCode.InvalidStream, outcome: Outcome.OutcomeUnknown };
  t.like(getFault(await once.answer), expected);
  t.like(getFault(await repeated.answer), expected);
  t.is(fleet.countExecutions(once.request.requestId), 1);
});

test('the outcome is not-run only if no attempt can have run', async (t) => {
  const fleet = new Fleet(8, 2);
  fleet.services.forEach(({ faults }) => {
    faults.reachability = Reachability.Refusing;
  });
  const refused = fleet.call(Idempotency.Idempotent);
  await fleet.timer.advance(5000);
  t.is(getFault(await refused.answer)?.outcome, Outcome.NotRun);
  fleet.services[0]!.faults.reachability = Reachability.Up;
  fleet.services[0]!.responseFaults.wrongIdChance = 1;
  const mixed = fleet.call(Idempotency.Idempotent);
  await fleet.timer.advance(5000);
  t.true(fleet.countExecutions(mixed.request.requestId) > 0);
  t.is(getFault(await mixed.answer)?.outcome, Outcome.OutcomeUnknown);
});

test('the upstream request is cancelled when the caller disconnects', async (t) => {
  const fleet = new Fleet(9, 1);
  const stream = fleet.generate({ maxTokens: 500 });
  await fleet.timer.advance(300);
  stream.abort.abort();
  await fleet.timer.advance(500);
  t.is(getFault(await stream.answer)?.code, FaultCode.Cancelled);
  t.is(fleet.engines[0]!.readLoad(0).running, 0);
  const received = stream.tokens.length;
  await fleet.timer.advance(1000);
  t.is(stream.tokens.length, received);
});

test('the deadline ends a request, and retries stop with the budget', async (t) => {
  const fleet = new Fleet(10);
  const late = fleet.generate({ maxTokens: 500 }, Idempotency.Idempotent, 1000);
  await fleet.timer.advance(1001);
  t.is(getFault(await late.answer)?.code, FaultCode.Timeout);
  fleet.services.forEach(({ faults }) => {
    faults.reachability = Reachability.Refusing;
  });
  const calls = Array.from({ length: 200 }, () => fleet.call(Idempotency.Idempotent));
  await fleet.timer.advance(10_000);
  await Promise.all(calls.map(({ answer }) => answer));
  // One attempt each, the reserve of 50 and 10% of the requests; the earlier generation counts too.
  t.true(fleet.attempts <= 201 + 50 + 20);
});

test('a model missing on one worker is requested from another; an unknown one is rejected', async (t) => {
  const fleet = new Fleet(11, 2);
  const unknown = fleet.generate({ model: 'other' });
  t.like(getFault(await unknown.answer), { code: FaultCode.NotFound, outcome: Outcome.NotRun });
  fleet.engines[0]!.sendOrder({ kind: 'unloadModel' as never, target: 'base', fence: 1 });
  await fleet.timer.advance(5000);
  const streams = Array.from({ length: 8 }, () => fleet.generate());
  await fleet.timer.advance(5000);
  for (const stream of streams) t.true((await stream.answer).isOk());
});

test('draining waits for requests in progress', async (t) => {
  const fleet = new Fleet(12);
  const stream = fleet.generate();
  let isDrained = false;
  void fleet.dispatcher.drain().then(() => {
    isDrained = true;
  });
  await fleet.timer.advance(50);
  t.false(isDrained);
  t.is(fleet.dispatcher.inFlight(), 1);
  await fleet.timer.advance(5000);
  t.true((await stream.answer).isOk());
  t.true(isDrained);
});

test('inter-token latency is recorded per answer, including the gap before a resumption', async (t) => {
  const fleet = new Fleet(7);
  const uninterrupted = fleet.generate({ maxTokens: 20 });
  await fleet.timer.advance(5000);
  t.true((await uninterrupted.answer).isOk());
  const [mean] = fleet.metrics.getSamples('online.inter_token');
  const [longest] = fleet.metrics.getSamples('online.inter_token_longest');
  t.deepEqual(mean!.tags, { model: 'base' });
  // A single stream on an engine has a step time of 32 ms.
  t.true(Math.abs(mean!.value - 32) < 1, `${mean!.value}`);
  t.true(longest!.value >= mean!.value && longest!.value < 40, `${longest!.value}`);

  const resumed = fleet.generate({ maxTokens: 20 });
  await fleet.timer.advance(100);
  fleet.engines.find((engine) => engine.countRunning() > 0)!.pause();
  await fleet.timer.advance(20_000);
  t.true((await resumed.answer).isOk());
  const gap = fleet.metrics.getSamples('online.inter_token_longest')[1]!.value;
  t.true(gap >= STALL_TIMEOUT_MS, `${gap}`);
});

test('an answer of one token has no inter-token latency', async (t) => {
  const fleet = new Fleet(8);
  const single = fleet.generate({ maxTokens: 1 });
  await fleet.timer.advance(5000);
  t.true((await single.answer).isOk());
  t.is(fleet.metrics.getSamples('online.inter_token').length, 0);
});

// Guards against requests of one kind that crash worker after worker: routing avoided the worker, and the
// next request of the kind crashed another one.
test('at most three prompts with a dangerous beginning reach workers 3 s after five crashes', async (t) => {
  const dangerousText = 'dangerous '.repeat(60);
  const fleet = new Fleet(22, 6, dangerousText);
  for (let request = 0; request < 300; request += 1) {
    const isDangerous = request % 20 === 0;
    const content = `${isDangerous ? dangerousText : ''}question ${request}`;
    fleet.generate({ messages: [{ role: 'user', content }] });
    await fleet.timer.advance(100);
  }
  const fifth = fleet.promptCrashes[4] ?? Infinity;
  t.true(fleet.promptCrashes.filter((at) => at > fifth + 3000).length <= 3);
});

// Guards against one request that comes again and crashes each worker that begins to run it. Other requests
// do not have its beginning.
test('a request that crashed three workers is refused with a retry delay, others are served', async (t) => {
  const deadlyText = 'deadly '.repeat(60);
  const fleet = new Fleet(25, 6, deadlyText);
  const deadly = { messages: [{ role: 'user', content: deadlyText }] };
  const sound: ReturnType<Fleet['generate']>[] = [];
  for (let request = 0; request < 300; request += 1) {
    if (request % 20 === 0) fleet.generate(deadly);
    else sound.push(fleet.generate());
    await fleet.timer.advance(100);
  }
  const third = fleet.promptCrashes[2] ?? Infinity;
  t.is(fleet.promptCrashes.filter((at) => at > third + 3000).length, 0);
  const refused = getFault(await fleet.generate(deadly).answer);
  t.like(refused, { code: FaultCode.Unavailable, outcome: Outcome.NotRun });
  t.true(refused!.retryAfterMs! > 0);
  await fleet.timer.advance(10_000);
  const answers = await Promise.all(sound.slice(-200).map(({ answer }) => answer));
  t.true(answers.every((answer) => answer.isOk()));
});

// Two crashes prove nothing: the callers of sound requests that were lost send them again.
test('a sound request that is sent again after two crashes of other cause is served', async (t) => {
  const fleet = new Fleet(26, 4);
  const sound = { messages: [{ role: 'user', content: 'sound '.repeat(100) }] };
  const lost = fleet.generate(sound);
  for (let crash = 0; crash < 2; crash += 1) {
    await fleet.timer.advance(1);
    const engine = fleet.engines.find((candidate) => candidate.countRunning() > 0)!;
    engine.crash();
    await fleet.timer.advance(30);
  }
  await fleet.timer.advance(1000);
  t.like(getFault(await lost.answer), {
    code: FaultCode.Interrupted,
    outcome: Outcome.OutcomeUnknown,
  });
  for (let repeat = 0; repeat < 5; repeat += 1) {
    const again = fleet.generate(sound);
    await fleet.timer.advance(2000);
    t.true((await again.answer).isOk());
  }
});
