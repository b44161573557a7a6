/** Validates one stream against the tokens that the caller has already received; pure. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { FinishReason, type StreamEnd, type Token } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';

export enum TokenAction {
  Deliver = 'deliver',
  /** The caller has already received it. */
  Skip = 'skip',
}

/**
 * Accepts the tokens of one request in order and once each. A stream is complete only after its end
 * message.
 */
export class StreamValidator {
  constructor(
    private readonly requestId: string,
    /** Texts of the tokens delivered by all attempts, by index. */
    private readonly delivered: string[],
  ) {}

  accept(token: Token): Result<TokenAction, Fault> {
    if (token.requestId !== this.requestId) {
      return this.reject(`a token belongs to request ${token.requestId}`);
    }
    const { index, text } = token;
    if (index > this.delivered.length) {
      return this.reject(`token ${index} was received after ${this.delivered.length} tokens`);
    }
    if (index < this.delivered.length) {
      const isSame = this.delivered[index] === text;
      return isSame
        ? ok(TokenAction.Skip)
        : this.reject(`token ${index} was repeated with another text`);
    }
    this.delivered.push(text);
    return ok(TokenAction.Deliver);
  }

  validateEnd(end: StreamEnd): Result<StreamEnd, Fault> {
    if (end.requestId !== this.requestId) {
      return this.reject(`the end belongs to request ${end.requestId}`);
    }
    if (end.tokenCount !== this.delivered.length) {
      return this.reject(
        `the end reports ${end.tokenCount} tokens, but ${this.delivered.length} were received`,
      );
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
