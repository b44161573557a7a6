/** Chat completions: request parsing, complete responses and server-sent events. */
import { FaultCode, toProblemDetails, type Fault } from '@jujubelanding/errors';
import type { OnlineGenerationRequest } from '@jujubelanding/interfaces';
import { computeChecksum } from '@jujubelanding/random';
import {
  FinishReason,
  Idempotency,
  RecordKind,
  type StreamEnd,
  type Token,
} from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import {
  createRefusal,
  releasePermits,
  REQUEST_ID_HEADER,
  respondFault,
  type CallerApiOptions,
  type RequestContext,
  type Middleware,
} from './request-context.js';
import { readIdempotency } from './idempotency.js';
import { parseInput } from './request-body.js';
import { chatSchema, type ChatRequest } from './schemas.js';
import { openEventStream, type EventStream } from './event-stream.js';

const decoder = new TextDecoder();

/** Used for models whose service has no record yet. */
const DEFAULT_TIMEOUT_MS = 60_000;

const FINISH_REASONS: Record<FinishReason, string> = {
  [FinishReason.Stop]: 'stop',
  [FinishReason.Length]: 'length',
  [FinishReason.Cancelled]: 'cancelled',
};

interface ResolvedModel {
  model: string;
  adapter?: string;
  service: string;
  maxTokens: number;
  timeoutMs: number;
}

/** Resolves the model of a request; its `model` field may also name an adapter. */
const resolveModel = (
  { configuration }: CallerApiOptions,
  chat: ChatRequest,
): Result<ResolvedModel, Fault> => {
  const namedAdapter = configuration.get(RecordKind.Adapter, chat.model);
  const adapter = chat.adapter ?? namedAdapter?.name;
  const adapterRecord =
    adapter === undefined ? undefined : configuration.get(RecordKind.Adapter, adapter);
  const name = namedAdapter?.spec.model ?? chat.model;
  const model = configuration.get(RecordKind.Model, name);
  if (model === undefined) {
    const message = `model ${chat.model} is not known`;
    return err(createRefusal(FaultCode.NotFound, 'model', message, { field: 'model' }));
  }
  if (adapter !== undefined && adapterRecord?.spec.model !== name) {
    const message = `adapter ${adapter} of model ${name} is not known`;
    return err(createRefusal(FaultCode.NotFound, 'model', message, { field: 'adapter' }));
  }
  const { service, maxTokens } = model.spec;
  const timeoutMs =
    configuration.get(RecordKind.Service, service)?.spec.requestTimeoutMs ?? DEFAULT_TIMEOUT_MS;
  return ok({
    model: name,
    ...(adapter === undefined ? {} : { adapter }),
    service,
    maxTokens,
    timeoutMs,
  });
};

interface PreparedChat {
  generation: OnlineGenerationRequest;
  service: string;
  isStreamed: boolean;
}

const prepareChat = (
  options: CallerApiOptions,
  context: RequestContext,
): Result<PreparedChat, Fault> => {
  const parsed = parseInput(decoder.decode(context.get('body')), chatSchema);
  if (parsed.isErr()) return err(parsed.error);
  const chat = parsed.value;
  const resolved = resolveModel(options, chat);
  if (resolved.isErr()) return err(resolved.error);
  const idempotency = readIdempotency(context, Idempotency.Idempotent);
  if (idempotency.isErr()) return err(idempotency.error);
  const { model, adapter, service, maxTokens, timeoutMs } = resolved.value;
  const requestedTokens = chat.max_completion_tokens ?? chat.max_tokens ?? maxTokens;
  if (requestedTokens > maxTokens) {
    const details = {
      field: 'max_tokens',
      value: String(requestedTokens),
      maximum: String(maxTokens),
    };
    const message = `field max_tokens: ${requestedTokens} exceeds ${maxTokens}, the maximum of model ${model}`;
    return err(createRefusal(FaultCode.InvalidInput, 'body', message, details));
  }
  return ok({
    service,
    isStreamed: chat.stream === true,
    generation: {
      generation: {
        requestId: context.get('requestId'),
        model,
        ...(adapter === undefined ? {} : { adapter }),
        messages: chat.messages,
        maxTokens: requestedTokens,
      },
      idempotency: idempotency.value,
      team: context.get('team').name,
      deadline: options.io.timer.now() + timeoutMs,
    },
  });
};

/** Builds response bodies in the format of the OpenAI chat completions API. */
class ChatResponseFormat {
  constructor(
    private readonly requestId: string,
    private readonly model: string,
    private readonly createdSeconds: number,
  ) {}

  formatChunk(delta: Record<string, string>, finishReason: string | null = null, end?: StreamEnd) {
    return {
      ...this.createCommonFields('chat.completion.chunk'),
      choices: [{ index: 0, delta, finish_reason: finishReason }],
      ...(end === undefined ? {} : { usage: this.formatUsage(end) }),
    };
  }

  formatCompletion(content: string, end: StreamEnd) {
    return {
      ...this.createCommonFields('chat.completion'),
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content },
          finish_reason: FINISH_REASONS[end.finishReason],
        },
      ],
      usage: this.formatUsage(end),
    };
  }

  private createCommonFields(object: string) {
    return {
      id: `chatcmpl-${this.requestId}`,
      object,
      created: this.createdSeconds,
      model: this.model,
    };
  }

  /** Omits `prompt_tokens`, because engines do not report it. */
  private formatUsage(end: StreamEnd) {
    return {
      completion_tokens: end.tokenCount,
      prompt_tokens_details: { cached_tokens: end.cachedTokens },
    };
  }
}

const finishStream = (
  stream: EventStream,
  format: ChatResponseFormat,
  result: Result<StreamEnd, Fault>,
  requestId: string,
): void => {
  result.match(
    (end) => {
      stream.send(JSON.stringify(format.formatChunk({}, FINISH_REASONS[end.finishReason], end)));
      stream.send('[DONE]');
    },
    (fault) => stream.send(JSON.stringify(toProblemDetails(fault, requestId)), 'error'),
  );
  stream.close();
};

/** Streams tokens as events; a fault before the first token is returned with its own HTTP status. */
const streamChat = async (
  options: CallerApiOptions,
  context: RequestContext,
  generation: OnlineGenerationRequest,
  format: ChatResponseFormat,
): Promise<Response> => {
  const stream = openEventStream({
    outgoing: context.env?.outgoing,
    callerSignal: context.req.raw.signal,
    headers: { [REQUEST_ID_HEADER]: generation.generation.requestId },
  });
  let resolveStarted = (): void => {};
  const started = new Promise<void>((resolve) => {
    resolveStarted = resolve;
  });
  let isFirst = true;
  const onToken = (token: Token): void => {
    const role: Record<string, string> = isFirst ? { role: 'assistant' } : {};
    stream.send(JSON.stringify(format.formatChunk({ ...role, content: token.text })));
    isFirst = false;
    resolveStarted();
  };
  context.set('isStreaming', true);
  const finished = options.dispatcher.generate(generation, onToken, stream.signal);
  void finished.then(
    (result) => releasePermits(context, result.isOk()),
    () => releasePermits(context, false),
  );
  await Promise.race([started, finished]);
  if (isFirst) {
    const result = await finished;
    if (result.isErr()) return respondFault(context, result.error);
  }
  const { requestId } = generation.generation;
  void finished.then(
    (result) => finishStream(stream, format, result, requestId),
    (thrown) => stream.fail(thrown),
  );
  return stream.createResponse();
};

const completeChat = async (
  options: CallerApiOptions,
  context: RequestContext,
  generation: OnlineGenerationRequest,
  format: ChatResponseFormat,
): Promise<Response> => {
  const texts: string[] = [];
  const result = await options.dispatcher.generate(
    generation,
    (token) => texts.push(token.text),
    context.req.raw.signal,
  );
  if (result.isErr()) return respondFault(context, result.error);
  return context.json(format.formatCompletion(texts.join(''), result.value));
};

export interface ChatHandlers {
  parse: Middleware;
  answer: (context: RequestContext) => Promise<Response>;
}

/** Parsing is a middleware, because the claim and overload middleware need the parsed model. */
export const createChatHandlers = (options: CallerApiOptions): ChatHandlers => {
  const prepared = new WeakMap<RequestContext, PreparedChat>();
  return {
    parse: async (context, next) => {
      const chat = prepareChat(options, context);
      if (chat.isErr()) return respondFault(context, chat.error);
      prepared.set(context, chat.value);
      const { service, generation } = chat.value;
      const { idempotency, deadline } = generation;
      const computeDigest = (): string => computeChecksum(context.get('body'));
      context.set('target', { service, isStream: true, deadline, idempotency, computeDigest });
      return next();
    },
    answer: (context) => {
      const { generation, isStreamed } = prepared.get(context)!;
      const createdSeconds = Math.floor(options.io.timer.wallClock() / 1000);
      const { requestId, model } = generation.generation;
      const format = new ChatResponseFormat(requestId, model, createdSeconds);
      const respond = isStreamed ? streamChat : completeChat;
      return respond(options, context, generation, format);
    },
  };
};
