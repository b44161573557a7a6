import test from 'ava';
import { FinishReason, type StreamEnd, type Token } from '@jujubelanding/types';
import fc from 'fast-check';
import { expectValue } from './fixtures/results.js';
import { TokenStream } from './token-stream.js';

const SEED = 20260101;

const encode = (tokens: Token[], end: StreamEnd): Buffer => {
  const events = tokens.map((token) => `data: ${JSON.stringify(token)}\n\n`);
  return Buffer.from(`${events.join('')}event: end\ndata: ${JSON.stringify(end)}\n\n`);
};

test('tokens do not depend on how the bytes are split into chunks', (t) => {
  const texts = fc.array(fc.string({ unit: 'grapheme' }), { maxLength: 20 });
  const sizes = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 });
  const property = fc.property(texts, sizes, (list, cuts) => {
    const sent = list.map((text, index) => ({ requestId: 'r1', index, text }));
    const end = {
      requestId: 'r1',
      tokenCount: sent.length,
      finishReason: FinishReason.Stop,
      cachedTokens: 0,
    };
    const received: Token[] = [];
    const { signal } = new AbortController();
    const stream = new TokenStream('w1', (token) => received.push(token), signal);
    const bytes = encode(sent, end);
    let position = 0;
    for (let cut = 0; position < bytes.length; cut += 1) {
      const next = position + cuts[cut % cuts.length]!;
      stream.feed(bytes.subarray(position, next));
      position = next;
    }
    t.deepEqual(received, sent);
    t.deepEqual(expectValue(stream.finish()), end);
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
});
