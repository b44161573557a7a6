/** State of one generation on an engine. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import { FinishReason, type Generation, type StreamEnd, type Token } from '@jujubelanding/types';
import { computeNaturalLength, computePromptDigest, computeToken } from './answer.js';
import type { StreamFaults } from './settings.js';

/** Receives the events of a stream; nothing follows onEnd or onFault. */
export interface StreamSink {
  onToken(token: Token): void;
  onEnd(end: StreamEnd): void;
  onFault(fault: Fault): void;
}

export enum StreamFault {
  None = 'none',
  Break = 'break',
  WrongId = 'wrongId',
  Swap = 'swap',
  Gap = 'gap',
  Truncate = 'truncate',
  Fail = 'fail',
}

const drawFault = (random: Random, faults: StreamFaults): StreamFault => {
  const chances: [StreamFault, number][] = [
    [StreamFault.Break, faults.breakChance],
    [StreamFault.WrongId, faults.wrongIdChance],
    [StreamFault.Swap, faults.swapChance],
    [StreamFault.Gap, faults.gapChance],
    [StreamFault.Truncate, faults.truncateChance],
    [StreamFault.Fail, faults.failChance],
  ];
  const drawn = chances.find(([, chance]) => chance > 0 && random.next() < chance);
  return drawn?.[0] ?? StreamFault.None;
};

export class EngineStream {
  readonly promptDigest: string;

  readonly fault: StreamFault;

  /** Index of the token at which a break, a gap, a wrong id or a swapped id takes effect. */
  readonly faultIndex: number;

  /** Time at which prefill is complete; set on admission. */
  readyAt = Infinity;

  cachedTokens = 0;

  /** Index of the next token. */
  next: number;

  private readonly length: number;

  private readonly naturalLength: number;

  constructor(
    readonly generation: Generation,
    readonly sink: StreamSink,
    random: Random,
    faults: StreamFaults,
  ) {
    this.promptDigest = computePromptDigest(generation);
    this.naturalLength = computeNaturalLength(this.promptDigest);
    this.length = Math.min(this.naturalLength, generation.maxTokens);
    this.next = generation.resumeTokens.length;
    this.fault = drawFault(random, faults);
    this.faultIndex = this.next + faults.breakAfterTokens;
  }

  get requestId(): string {
    return this.generation.requestId;
  }

  isComplete(): boolean {
    const isTruncated = this.fault === StreamFault.Truncate && this.next >= this.length - 1;
    return this.next >= this.length || isTruncated;
  }

  /** Generates the next token. */
  createToken(): Token {
    const index = this.next;
    this.next += 1;
    return { requestId: this.requestId, index, text: computeToken(this.promptDigest, index) };
  }

  createEnd(): StreamEnd {
    return {
      requestId: this.requestId,
      tokenCount: this.length,
      finishReason:
        this.naturalLength <= this.generation.maxTokens ? FinishReason.Stop : FinishReason.Length,
      cachedTokens: this.cachedTokens,
    };
  }

  /** Returns true when the generation must fail, due to a fault or to the marker in the prompt. */
  shouldFail(marker: string): boolean {
    if (this.fault === StreamFault.Fail) return true;
    if (marker === '') return false;
    return this.generation.messages.some(({ content }) => content.includes(marker));
  }

  /** Ends the stream with the outcome failed. */
  fail(workerId: string): void {
    this.sink.onFault({
      code: FaultCode.Upstream,
      outcome: Outcome.Failed,
      step: 'generate',
      peer: workerId,
      message: 'generation failed',
    });
  }

  /** Ends the stream as an interrupted connection, with an unknown outcome. */
  interrupt(workerId: string, message: string): void {
    this.sink.onFault({
      code: FaultCode.Interrupted,
      outcome: Outcome.OutcomeUnknown,
      step: 'generate',
      peer: workerId,
      message,
    });
  }
}
