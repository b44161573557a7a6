/** Online requests of callers. */
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

/** Reads a streamed answer; without the closing mark it is not whole. */
const parseEventStream = (body: string): ChatAnswer => {
  const events = body
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length));
  const isWhole = events.at(-1) === '[DONE]';
  const chunks = events
    .filter((event) => event.startsWith('{"id"'))
    .map((event) => JSON.parse(event) as { choices: { delta: { content?: string } }[] });
  const text = chunks.map(({ choices }) => choices[0]?.delta.content ?? '').join('');
  return { text, isComplete: isWhole };
};

const parseCompletion = (body: string): ChatAnswer => {
  const { choices } = JSON.parse(body) as { choices: { message: { content: string } }[] };
  return { text: choices[0]!.message.content, isComplete: true };
};

/** First answer seen for a prompt; an engine answers the same prompt always alike. */
const answersByPrompt = new WeakMap<SoakHarness, Map<string, string>>();

const checkAnswer = (
  world: SoakHarness,
  subject: string,
  prompt: string,
  answer: ChatAnswer,
): void => {
  if (!answer.isComplete) return;
  const answerByPrompt = answersByPrompt.get(world) ?? new Map<string, string>();
  answersByPrompt.set(world, answerByPrompt);
  const previous = answerByPrompt.get(prompt);
  if (answer.text === '' || (previous !== undefined && previous !== answer.text)) {
    const detail = `answer of ${answer.text.length} characters differs from the earlier one`;
    world.violations.report(Invariant.WholeAnswer, subject, detail);
  }
  answerByPrompt.set(prompt, answer.text);
};

const checkOutcome = (world: SoakHarness, node: FleetNode, reply: CallerReply): void => {
  const requestId = reply.requestId ?? '';
  const isAnswered = reply.kind === ReplyKind.Answered;
  if (isAnswered && requestId === '') throw new Error('an answer carries no request id');
  if (reply.outcome === Outcome.NotRun && world.observer.executions.has(requestId)) {
    world.violations.report(Invariant.NotRun, requestId, `${reply.status} ${reply.body}`);
  }
  // A stopping VM that crashes is taken off the list first, so this is a stop that did not wait.
  if (reply.kind === ReplyKind.Broken && world.stoppingVms.has(node.host.id)) {
    world.violations.report(Invariant.PlannedStop, requestId, `${node.host.id} broke the request`);
  }
};

const sendChat = async (world: SoakHarness, node: FleetNode, target: number): Promise<void> => {
  const models = Object.values(MODEL_BY_SERVICE);
  const model = models[target % models.length]!;
  // Few different prompts, so that answers can be compared over many requests.
  const prompt = `fit question ${target % 17} for ${model}`;
  const stream = target % 2 === 0;
  const recordResult = world.services.trackRequest(node, model);
  const reply = await world.send(node, {
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
  checkOutcome(world, node, reply);
  if (reply.kind !== ReplyKind.Answered || reply.status !== 200) return;
  const answer = stream ? parseEventStream(reply.body) : parseCompletion(reply.body);
  checkAnswer(world, reply.requestId ?? '', prompt, answer);
};

export const startChat = (world: SoakHarness, { target }: Step): void => {
  const node = world.chooseNode(target);
  if (node !== undefined) world.trackRequest(sendChat(world, node, target));
};

export const startChatBurst = (world: SoakHarness, { target }: Step): void => {
  for (let index = 0; index < BURST_SIZE; index += 1) {
    const node = world.chooseNode(target + index);
    if (node !== undefined) world.trackRequest(sendChat(world, node, target + 2 * index));
  }
};

/** Orders sent so far; a caller without an answer may send one again through another VM. */
const sentOrders = new WeakMap<SoakHarness, string[]>();

const sendOrder = async (world: SoakHarness, node: FleetNode, order: string): Promise<void> => {
  const reply = await world.send(node, {
    method: 'POST',
    path: `/services/${PLAIN_SERVICE}/orders`,
    headers: {
      'content-type': 'text/plain',
      'idempotency-key': order,
    },
    body: tagOrder(order),
  });
  checkOutcome(world, node, reply);
};

export const placeOrder = (world: SoakHarness, { target }: Step): void => {
  const node = world.chooseNode(target);
  if (node === undefined) return;
  const sentBefore = sentOrders.get(world) ?? [];
  sentOrders.set(world, sentBefore);
  const name = `order-${sentBefore.length}`;
  sentBefore.push(name);
  world.trackRequest(sendOrder(world, node, name));
};

export const retryOrder = (world: SoakHarness, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const sentBefore = sentOrders.get(world) ?? [];
  if (node === undefined || sentBefore.length === 0) return;
  // Mostly recent orders, as after a time-out; sometimes an old one.
  const offset =
    amount % 4 === 0 ? amount % sentBefore.length : amount % Math.min(3, sentBefore.length);
  world.trackRequest(sendOrder(world, node, sentBefore[sentBefore.length - 1 - offset]!));
};
