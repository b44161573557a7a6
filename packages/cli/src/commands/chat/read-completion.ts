/** Reads a chat completion that is streamed as server-sent events. */
import type { Readable } from 'node:stream';
import { getErrorMessage, type Fault, FaultCode, Outcome } from '@jujubelanding/errors';
import { createParser } from 'eventsource-parser';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { toFault } from '../../client/faults.js';
import { parseJson } from '../../input/files.js';

const CHUNK_SCHEMA = z.looseObject({
  choices: z.array(
    z.looseObject({
      delta: z.looseObject({ content: z.string().nullish() }),
      finish_reason: z.string().nullish(),
    }),
  ),
});

const DONE_MARKER = '[DONE]';
const CANCELLED_FINISH_REASON = 'cancelled';

export interface ChatCompletion {
  text: string;
  finishReason: string;
}

const createFault = (code: FaultCode, message: string): Fault => ({
  code,
  outcome: Outcome.Failed,
  step: 'stream',
  message,
});

/** Collects the events of one stream; a completion is complete only after the `[DONE]` event. */
class CompletionCollector {
  #text = '';

  #finishReason: string | undefined;

  #isEnded = false;

  #fault: Fault | undefined;

  constructor(
    private readonly peer: string,
    private readonly onText: (text: string) => void,
  ) {}

  handleEvent(event: string | undefined, data: string): void {
    if (this.#isEnded || this.#fault !== undefined) return;
    if (event === 'error') this.#fault = toFault(500, data, this.peer);
    else if (data === DONE_MARKER) this.#isEnded = true;
    else this.#handleChunk(data);
  }

  finish(): Result<ChatCompletion, Fault> {
    if (this.#fault !== undefined) return err(this.#fault);
    if (!this.#isEnded || this.#finishReason === undefined) {
      return err(createFault(FaultCode.Interrupted, 'the response ended before its end event'));
    }
    if (this.#finishReason === CANCELLED_FINISH_REASON) {
      return err(createFault(FaultCode.Cancelled, 'the response was cancelled before its end'));
    }
    return ok({ text: this.#text, finishReason: this.#finishReason });
  }

  #handleChunk(data: string): void {
    const chunk = CHUNK_SCHEMA.safeParse(parseJson(data).unwrapOr(undefined));
    if (!chunk.success) {
      this.#fault = createFault(FaultCode.InvalidStream, 'an event does not match its schema');
      return;
    }
    const [choice] = chunk.data.choices;
    const text = choice?.delta.content ?? '';
    this.#text += text;
    this.#finishReason = choice?.finish_reason ?? this.#finishReason;
    if (text !== '') this.onText(text);
  }
}

/** Reads a completion to its end and calls `onText` with each piece of text. */
export const readCompletion = async (
  body: Readable,
  peer: string,
  onText: (text: string) => void,
): Promise<Result<ChatCompletion, Fault>> => {
  const collector = new CompletionCollector(peer, onText);
  const parser = createParser({
    onEvent: ({ event, data }) => collector.handleEvent(event, data),
  });
  const decoder = new TextDecoder();
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
    }
  } catch (thrown) {
    return collector
      .finish()
      .orElse((fault) =>
        err(
          fault.code === FaultCode.Interrupted
            ? createFault(FaultCode.Interrupted, getErrorMessage(thrown))
            : fault,
        ),
      );
  }
  return collector.finish();
};
