/** Check of one stream against the tokens that the caller already has; pure. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { FinishReason, type StreamEnd, type Token } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';

export enum TokenAction {
  Deliver = 'deliver',
  /** The caller has it already. */
  Skip = 'skip',
}

/** Accepts tokens in order, once each, of one request; the stream is complete only with its end. */
export class StreamValidator {
  constructor(
    private readonly requestId: string,
    /** Texts of delivered tokens over all attempts, by index. */
    private readonly delivered: string[],
  ) {}

  accept(token: Token): Result<TokenAction, Fault> {
    if (token.requestId !== this.requestId) return this.reject(`token of ${token.requestId}`);
    const { index, text } = token;
    if (index > this.delivered.length) {
      return this.reject(`token ${index} after ${this.delivered.length} tokens`);
    }
    if (index < this.delivered.length) {
      const isSame = this.delivered[index] === text;
      return isSame ? ok(TokenAction.Skip) : this.reject(`token ${index} differs when repeated`);
    }
    this.delivered.push(text);
    return ok(TokenAction.Deliver);
  }

  validateEnd(end: StreamEnd): Result<StreamEnd, Fault> {
    if (end.requestId !== this.requestId) return this.reject(`end of ${end.requestId}`);
    if (end.tokenCount !== this.delivered.length) {
      return this.reject(`end after ${end.tokenCount} tokens, received ${this.delivered.length}`);
    }
    if (end.finishReason === FinishReason.Cancelled) {
      return err({
        code: FaultCode.Interrupted,
        outcome: Outcome.Failed,
        step: 'stream',
        message: 'the worker cancelled the stream',
      });
    }
    return ok(end);
  }

  private reject(message: string): Result<never, Fault> {
    return err({
      code: FaultCode.InvalidStream,
      outcome: Outcome.OutcomeUnknown,
      step: 'stream',
      message,
    });
  }
}
