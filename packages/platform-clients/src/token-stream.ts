/** Parses the server-sent events of a generation. */
import { StringDecoder } from 'node:string_decoder';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { FinishReason, type StreamEnd, type Token } from '@jujubelanding/types';
import { createParser, type EventSourceMessage, type EventSourceParser } from 'eventsource-parser';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

const endSchema: z.ZodType<StreamEnd> = z.object({
  requestId: z.string(),
  tokenCount: z.number().int(),
  finishReason: z.enum(FinishReason),
  cachedTokens: z.number(),
});

const faultSchema = z.object({
  code: z.enum(FaultCode).catch(FaultCode.Upstream),
  outcome: z.enum(Outcome).catch(Outcome.OutcomeUnknown),
  message: z.string().catch('generation failed'),
});

const isToken = (value: unknown): value is Token => {
  // Checked by hand, because a schema check costs more than all other processing of a token.
  if (typeof value !== 'object' || value === null) return false;
  const { requestId, index, text } = value as Partial<Token>;
  return typeof requestId === 'string' && Number.isInteger(index) && typeof text === 'string';
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Maximum length of an event; engines do not send tokens that long. */
const MAX_EVENT_CHARACTERS = 1024 * 1024;

export class TokenStream {
  private readonly decoder = new StringDecoder('utf8');

  private readonly parser: EventSourceParser;

  private end: Result<StreamEnd, Fault> | undefined;

  constructor(
    private readonly peer: string,
    private readonly onToken: (token: Token) => void,
    private readonly signal: AbortSignal,
  ) {
    this.parser = createParser({
      onEvent: (event) => this.handleEvent(event),
      onError: ({ type }) => {
        if (type === 'max-buffer-size-exceeded') this.end = this.createInvalidStreamFault('event');
      },
      maxBufferSize: MAX_EVENT_CHARACTERS,
    });
  }

  /** Parses a chunk of the stream; returns false if the stream has failed and the rest is to be ignored. */
  feed(chunk: Buffer): boolean {
    this.parser.feed(this.decoder.write(chunk));
    return this.end?.isErr() !== true;
  }

  /** Returns the end of the stream, or its fault, once it is known. */
  getEnd(): Result<StreamEnd, Fault> | undefined {
    return this.end;
  }

  /** Returns the end of the stream after the connection has ended; a fault if there was no end event. */
  finish(): Result<StreamEnd, Fault> {
    return this.end ?? this.createFault(FaultCode.Interrupted, 'the stream has no end event');
  }

  private handleEvent({ event, data }: EventSourceMessage): void {
    // Events after the end event or an invalid event are ignored. The request may also have been
    // aborted by the callback of an earlier token in the same chunk.
    if (this.end !== undefined || this.signal.aborted) return;
    const value = parseJson(data);
    if (event === 'end') {
      const end = endSchema.safeParse(value);
      this.end = end.success ? ok(end.data) : this.createInvalidStreamFault('end event');
    } else if (event === 'fault') {
      this.end = this.readFault(value);
    } else if (isToken(value)) this.onToken(value);
    else this.end = this.createInvalidStreamFault('token');
  }

  private readFault(value: unknown): Result<never, Fault> {
    const fault = faultSchema.safeParse(value);
    if (!fault.success) return this.createInvalidStreamFault('fault event');
    return err({ ...fault.data, step: 'generate', peer: this.peer });
  }

  private createInvalidStreamFault(element: string): Result<never, Fault> {
    return this.createFault(FaultCode.InvalidStream, `the ${element} is invalid`);
  }

  private createFault(code: FaultCode, message: string): Result<never, Fault> {
    return err({
      code,
      outcome: Outcome.OutcomeUnknown,
      step: 'generate',
      peer: this.peer,
      message,
    });
  }
}
