/** Online requests of callers. */
import { Outcome } from '@jujubelanding/errors';
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind, type CallerReply } from '../caller.js';
import { tagOrder } from '../observer.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import { MODELS, PLAIN_SERVICE } from '../fleet-plan.js';
import type { World } from '../world.js';

const BURST_SIZE = 12;

const MAX_ANSWER_TOKENS = 24;

interface Answer {
  text: string;
  isWhole: boolean;
}

/** Reads a streamed answer; without the closing mark it is not whole. */
const readEvents = (body: string): Answer => {
  const events = body
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length));
  const isWhole = events.at(-1) === '[DONE]';
  const chunks = events
    .filter((event) => event.startsWith('{"id"'))
    .map((event) => JSON.parse(event) as { choices: { delta: { content?: string } }[] });
  const text = chunks.map(({ choices }) => choices[0]?.delta.content ?? '').join('');
  return { text, isWhole };
};

const readWhole = (body: string): Answer => {
  const { choices } = JSON.parse(body) as { choices: { message: { content: string } }[] };
  return { text: choices[0]!.message.content, isWhole: true };
};

/** First answer seen for a prompt; an engine answers the same prompt always alike. */
const answers = new WeakMap<World, Map<string, string>>();

const checkAnswer = (world: World, subject: string, prompt: string, answer: Answer): void => {
  if (!answer.isWhole) return;
  const known = answers.get(world) ?? new Map<string, string>();
  answers.set(world, known);
  const before = known.get(prompt);
  if (answer.text === '' || (before !== undefined && before !== answer.text)) {
    const detail = `answer of ${answer.text.length} characters differs from the earlier one`;
    world.violations.report(Invariant.WholeAnswer, subject, detail);
  }
  known.set(prompt, answer.text);
};

const checkOutcome = (world: World, node: FleetNode, reply: CallerReply): void => {
  const requestId = reply.requestId ?? '';
  const isAnswered = reply.kind === ReplyKind.Answered;
  if (isAnswered && requestId === '') throw new Error('an answer carries no request id');
  if (reply.outcome === Outcome.NotRun && world.observer.executions.has(requestId)) {
    world.violations.report(Invariant.NotRun, requestId, `${reply.status} ${reply.body}`);
  }
  // A stopping VM that crashes is taken off the list first, so this is a stop that did not wait.
  if (reply.kind === ReplyKind.Broken && world.stopping.has(node.host.id)) {
    world.violations.report(Invariant.PlannedStop, requestId, `${node.host.id} broke the request`);
  }
};

const sendChat = async (world: World, node: FleetNode, target: number): Promise<void> => {
  const models = Object.values(MODELS);
  const model = models[target % models.length]!;
  // Few different prompts, so that answers can be compared over many requests.
  const prompt = `fit question ${target % 17} for ${model}`;
  const stream = target % 2 === 0;
  const noteEnd = world.services.follow(node, model);
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
  noteEnd?.(reply.status === 200);
  checkOutcome(world, node, reply);
  if (reply.kind !== ReplyKind.Answered || reply.status !== 200) return;
  const answer = stream ? readEvents(reply.body) : readWhole(reply.body);
  checkAnswer(world, reply.requestId ?? '', prompt, answer);
};

export const chat = (world: World, { target }: Step): void => {
  const node = world.chooseNode(target);
  if (node !== undefined) world.track(sendChat(world, node, target));
};

export const chatBurst = (world: World, { target }: Step): void => {
  for (let index = 0; index < BURST_SIZE; index += 1) {
    const node = world.chooseNode(target + index);
    if (node !== undefined) world.track(sendChat(world, node, target + 2 * index));
  }
};

/** Orders sent so far; a caller without an answer may send one again through another VM. */
const orders = new WeakMap<World, string[]>();

const sendOrder = async (world: World, node: FleetNode, order: string): Promise<void> => {
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

export const order = (world: World, { target }: Step): void => {
  const node = world.chooseNode(target);
  if (node === undefined) return;
  const known = orders.get(world) ?? [];
  orders.set(world, known);
  const name = `order-${known.length}`;
  known.push(name);
  world.track(sendOrder(world, node, name));
};

export const retryOrder = (world: World, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const known = orders.get(world) ?? [];
  if (node === undefined || known.length === 0) return;
  // Mostly recent orders, as after a time-out; sometimes an old one.
  const back = amount % 4 === 0 ? amount % known.length : amount % Math.min(3, known.length);
  world.track(sendOrder(world, node, known[known.length - 1 - back]!));
};
