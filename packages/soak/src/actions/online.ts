/** Steps in which callers send online requests. */
import { Outcome } from '@jujubelanding/errors';
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind, type CallerReply } from '../caller.js';
import { tagOrder } from '../observer.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import { MODEL_BY_SERVICE, PLAIN_SERVICE } from '../fleet-layout.js';
import type { SoakHarness } from '../soak-harness.js';

const BURST_SIZE = 12;

const MAX_ANSWER_TOKENS = 24;

interface ChatAnswer {
  text: string;
  isComplete: boolean;
}

/** Parses a streamed answer, which is incomplete without the final `[DONE]` event. */
const parseEventStream = (body: string): ChatAnswer => {
  const events = body
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length));
  const isComplete = events.at(-1) === '[DONE]';
  const chunks = events
    .filter((event) => event.startsWith('{"id"'))
    .map((event) => JSON.parse(event) as { choices: { delta: { content?: string } }[] });
  const text = chunks.map(({ choices }) => choices[0]?.delta.content ?? '').join('');
  return { text, isComplete };
};

const parseCompletion = (body: string): ChatAnswer => {
  const { choices } = JSON.parse(body) as { choices: { message: { content: string } }[] };
  return { text: choices[0]!.message.content, isComplete: true };
};

/** Latest answer to each prompt; an engine always gives the same answer to the same prompt. */
const answersByHarness = new WeakMap<SoakHarness, Map<string, string>>();

const checkAnswer = (
  harness: SoakHarness,
  subject: string,
  prompt: string,
  answer: ChatAnswer,
): void => {
  if (!answer.isComplete) return;
  const answerByPrompt = answersByHarness.get(harness) ?? new Map<string, string>();
  answersByHarness.set(harness, answerByPrompt);
  const previous = answerByPrompt.get(prompt);
  if (answer.text === '' || (previous !== undefined && previous !== answer.text)) {
    const detail = `the answer of ${answer.text.length} characters is empty or differs from the earlier one`;
    harness.violations.report(Invariant.WholeAnswer, subject, detail);
  }
  answerByPrompt.set(prompt, answer.text);
};

const checkOutcome = (harness: SoakHarness, node: FleetNode, reply: CallerReply): void => {
  const requestId = reply.requestId ?? '';
  const isAnswered = reply.kind === ReplyKind.Answered;
  if (isAnswered && requestId === '') throw new Error('the response has no x-request-id header');
  if (reply.outcome === Outcome.NotRun && harness.observer.executions.has(requestId)) {
    harness.violations.report(
      Invariant.NotRun,
      requestId,
      `the request ran, but the response says that it did not: ${reply.status} ${reply.body}`,
    );
  }
  // A crash removes the VM from `stoppingVms` first, so here the planned stop itself broke the request.
  if (reply.kind === ReplyKind.Broken && harness.stoppingVms.has(node.host.id)) {
    harness.violations.report(
      Invariant.PlannedStop,
      requestId,
      `${node.host.id} broke the connection`,
    );
  }
};

const sendChat = async (harness: SoakHarness, node: FleetNode, target: number): Promise<void> => {
  const models = Object.values(MODEL_BY_SERVICE);
  const model = models[target % models.length]!;
  // Uses only 17 prompts per model, so that the answers of many requests can be compared.
  const prompt = `fit question ${target % 17} for ${model}`;
  const stream = target % 2 === 0;
  const recordResult = harness.services.trackRequest(node, model);
  const reply = await harness.send(node, {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      model,
      stream,
      max_tokens: MAX_ANSWER_TOKENS,
      messages: [{ role: 'user', content: prompt }],
    }),
  });
  recordResult?.(reply.status === 200);
  checkOutcome(harness, node, reply);
  if (reply.kind !== ReplyKind.Answered || reply.status !== 200) return;
  const answer = stream ? parseEventStream(reply.body) : parseCompletion(reply.body);
  checkAnswer(harness, reply.requestId ?? '', prompt, answer);
};

export const startChat = (harness: SoakHarness, { target }: Step): void => {
  const node = harness.chooseNode(target);
  if (node !== undefined) harness.trackRequest(sendChat(harness, node, target));
};

export const startChatBurst = (harness: SoakHarness, { target }: Step): void => {
  for (let index = 0; index < BURST_SIZE; index += 1) {
    const node = harness.chooseNode(target + index);
    if (node !== undefined) harness.trackRequest(sendChat(harness, node, target + 2 * index));
  }
};

/** Keys of the orders sent so far; a caller that got no response may resend one through another entry VM. */
const sentOrdersByHarness = new WeakMap<SoakHarness, string[]>();

const sendOrder = async (harness: SoakHarness, node: FleetNode, order: string): Promise<void> => {
  const reply = await harness.send(node, {
    method: 'POST',
    path: `/services/${PLAIN_SERVICE}/orders`,
    headers: {
      'content-type': 'text/plain',
      'idempotency-key': order,
    },
    body: tagOrder(order),
  });
  checkOutcome(harness, node, reply);
};

export const placeOrder = (harness: SoakHarness, { target }: Step): void => {
  const node = harness.chooseNode(target);
  if (node === undefined) return;
  const sentBefore = sentOrdersByHarness.get(harness) ?? [];
  sentOrdersByHarness.set(harness, sentBefore);
  const name = `order-${sentBefore.length}`;
  sentBefore.push(name);
  harness.trackRequest(sendOrder(harness, node, name));
};

export const retryOrder = (harness: SoakHarness, { target, amount }: Step): void => {
  const node = harness.chooseNode(target);
  const sentBefore = sentOrdersByHarness.get(harness) ?? [];
  if (node === undefined || sentBefore.length === 0) return;
  // Usually resends one of the last three orders, as after a timeout, and every fourth time any order.
  const offset =
    amount % 4 === 0 ? amount % sentBefore.length : amount % Math.min(3, sentBefore.length);
  harness.trackRequest(sendOrder(harness, node, sentBefore[sentBefore.length - 1 - offset]!));
};
