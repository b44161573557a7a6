import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { createRandom } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { FinishReason, OrderKind, type Generation, type Token } from '@jujubelanding/types';
import { expectFault, expectValue } from './fixtures/results.js';
import {
  BackendServerGroup,
  computeAnswer,
  ModelEngine,
  Reachability,
  type EngineSettings,
} from './index.js';

const WORKER = { id: 'w1', address: '127.0.0.1:1' };

const createGeneration = (requestId: string, change: Partial<Generation> = {}): Generation => ({
  requestId,
  model: 'base',
  messages: [{ role: 'user', content: `question ${requestId} ${'x'.repeat(600)}` }],
  maxTokens: 8,
  resumeTokens: [],
  ...change,
});

const setUp = (settings: Partial<EngineSettings> = {}) => {
  const timer = new VirtualTimer();
  const random = createRandom(1);
  const group = new BackendServerGroup({ timer, random });
  const engine = new ModelEngine({ timer, random, workerId: 'w1', settings });
  group.addEngine(engine);
  const client = group.createClient('vm-1');
  const start = (generation: Generation) => {
    const tokens: Token[] = [];
    const abort = new AbortController();
    const end = client.generate(WORKER, generation, (token) => tokens.push(token), abort.signal);
    return { tokens, end, abort };
  };
  return { timer, engine, client, start };
};

test('an answer is complete, in order and belongs to its own request', async (t) => {
  const { timer, start } = setUp({ slots: 2 });
  const streams = ['a', 'b', 'c', 'd'].map((id) => ({ id, ...start(createGeneration(id)) }));
  await timer.advance(5000);
  for (const { id, tokens, end } of streams) {
    const answer = computeAnswer(createGeneration(id));
    t.deepEqual(
      tokens.map(({ text }) => text),
      answer.tokens,
    );
    t.deepEqual(
      tokens.map(({ index }) => index),
      answer.tokens.map((_, index) => index),
    );
    const { tokenCount, finishReason } = expectValue(await end);
    t.deepEqual({ tokenCount, finishReason }, { tokenCount: 8, finishReason: FinishReason.Length });
  }
});

test('generations wait for a slot in order of arrival', async (t) => {
  const { timer, start } = setUp({ slots: 1 });
  const [first, second] = [start(createGeneration('a')), start(createGeneration('b'))];
  await timer.advance(120);
  t.true(first.tokens.length > 0);
  t.is(second.tokens.length, 0);
  await timer.advance(1000);
  t.is(second.tokens.length, 8);
});

test('the token rate falls as more streams run', async (t) => {
  const alone = setUp();
  const shared = setUp();
  alone.start(createGeneration('a', { maxTokens: 100 }));
  for (let index = 0; index < 16; index += 1) {
    shared.start(createGeneration(`a${index}`, { maxTokens: 100 }));
  }
  await alone.timer.advance(1000);
  await shared.timer.advance(1000);
  t.true(shared.engine.counts.tokens.get('a0')! < alone.engine.counts.tokens.get('a')!);
  t.true(shared.engine.counts.totalTokens > 10 * alone.engine.counts.totalTokens);
});

test('prefill takes time for uncached prompt tokens only', async (t) => {
  const { timer, start } = setUp({ prefillMsPerToken: 10, stepBaseMs: 1, stepPerStreamMs: 0 });
  const messages = [{ role: 'user', content: 'y'.repeat(1024) }];
  const first = start(createGeneration('a', { messages, maxTokens: 1 }));
  await timer.advance(2000);
  t.is(first.tokens.length, 0);
  await timer.advance(1000);
  t.is(first.tokens.length, 1);
  const second = start(createGeneration('b', { messages, maxTokens: 1 }));
  await timer.advance(100);
  t.is(second.tokens.length, 1);
  t.is(expectValue(await second.end).cachedTokens, 256);
});

test('a resumed stream continues after its tokens, without prefill and repetition', async (t) => {
  const { timer, engine, start } = setUp({ prefillMsPerToken: 10 });
  const generation = createGeneration('a');
  const first = start(generation);
  await timer.advance(1700);
  first.abort.abort();
  t.is(expectFault(await first.end).code, FaultCode.Cancelled);
  await timer.advance(100);
  const received = first.tokens.map(({ text }) => text);
  t.true(received.length > 0 && received.length < 8);
  const second = start({ ...generation, resumeTokens: received });
  await timer.advance(500);
  const all = [...first.tokens, ...second.tokens];
  t.deepEqual(
    all.map(({ text }) => text),
    computeAnswer(generation).tokens,
  );
  t.is(expectValue(await second.end).tokenCount, 8);
  t.is(engine.counts.tokens.get('a'), 8);
});

test('a generation of a model that is not loaded is refused and does not run', async (t) => {
  const { timer, engine, client, start } = setUp({ loadMs: 1000 });
  const refused = start(createGeneration('a', { model: 'other' }));
  await timer.advance(10);
  t.is(expectFault(await refused.end).outcome, Outcome.NotRun);
  t.is(engine.counts.totalExecutions, 0);
  const order = client.sendOrder(WORKER, { kind: OrderKind.LoadModel, target: 'other', fence: 1 });
  await timer.advance(1500);
  t.true((await order).isOk());
  const accepted = start(createGeneration('b', { model: 'other' }));
  await timer.advance(1000);
  t.true((await accepted.end).isOk());
});

test('orders and generations with an old fencing number are refused', async (t) => {
  const { timer, client, start } = setUp();
  start(createGeneration('a', { fence: 5 }));
  const stale = start(createGeneration('b', { fence: 4 }));
  await timer.advance(10);
  const fault = expectFault(await stale.end);
  t.deepEqual([fault.code, fault.outcome], [FaultCode.StaleFence, Outcome.NotRun]);
  const orders = [7, 6].map((fence) =>
    client.sendOrder(WORKER, { kind: OrderKind.LoadAdapter, target: 'x', fence }),
  );
  await timer.advance(10);
  t.true((await orders[0]!).isOk());
  t.is(expectFault(await orders[1]!).code, FaultCode.StaleFence);
});

test('a crash interrupts streams with unknown outcome and refuses new ones as not-run', async (t) => {
  const { timer, engine, start } = setUp();
  const running = start(createGeneration('a', { maxTokens: 400 }));
  await timer.advance(300);
  engine.crash();
  t.is(expectFault(await running.end).outcome, Outcome.OutcomeUnknown);
  const refused = start(createGeneration('b'));
  await timer.advance(10);
  t.is(expectFault(await refused.end).outcome, Outcome.NotRun);
  engine.restart();
  const accepted = start(createGeneration('c'));
  await timer.advance(1000);
  t.true((await accepted.end).isOk());
});

test('a stream over a cut path ends by its idle timeout, not as complete', async (t) => {
  const { timer, client, start } = setUp();
  const stream = start(createGeneration('a'));
  await timer.advance(200);
  client.getFaultsTo('w1').reachability = Reachability.Cut;
  await timer.advance(30_000);
  t.is(expectFault(await stream.end).outcome, Outcome.OutcomeUnknown);
  t.true(stream.tokens.length < 8);
});
