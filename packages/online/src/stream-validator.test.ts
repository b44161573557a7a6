import test from 'ava';
import { FaultCode } from '@jujubelanding/errors';
import { FinishReason } from '@jujubelanding/types';
import { StreamValidator, TokenAction } from './index.js';

const END = { requestId: 'r', tokenCount: 2, finishReason: FinishReason.Stop, cachedTokens: 0 };

test('a repeated token is skipped if it is identical and rejected if it differs', (t) => {
  const validator = new StreamValidator('r', ['a']);
  const same = validator.accept({ requestId: 'r', index: 0, text: 'a' });
  t.is(same.unwrapOr(TokenAction.Deliver), TokenAction.Skip);
  t.true(validator.accept({ requestId: 'r', index: 0, text: 'b' }).isErr());
});

test('an end with another id, another count or a cancellation does not complete a stream', (t) => {
  const validator = new StreamValidator('r', ['a', 'b']);
  t.true(validator.validateEnd(END).isOk());
  const wrong = [
    { ...END, requestId: 's' },
    { ...END, tokenCount: 3 },
    { ...END, finishReason: FinishReason.Cancelled },
  ].map((end) =>
    validator.validateEnd(end).match(
      () => 'complete',
      ({ code }) => code,
    ),
  );
  t.deepEqual(wrong, [FaultCode.InvalidStream, FaultCode.InvalidStream, FaultCode.Interrupted]);
});
