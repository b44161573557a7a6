/** Collects events and stated outcomes of a trace and writes them in order. */
import { computeAnswer } from '@jujubelanding/stand-ins';
import { ItemStatus, JobStatus } from '@jujubelanding/types';
import { digestResults } from '../checks/jobs.js';
import { createItemPrompt, tagRequest } from '../tags.js';
import { EventKind, type EventOf, type TraceEvent } from '../trace/events.js';
import {
  ExpectationKind,
  RequestOutcome,
  type Expectation,
  type ExpectationOf,
} from '../trace/expectations.js';
import type { Header } from '../trace/header.js';
import { createHeader, type Deployment } from './deployments.js';

const CHAT_TOKENS = 16;

const ITEM_TOKENS = 12;

type WithoutKind<T> = Omit<T, 'kind' | 'expect'>;

type JobOptions = Pick<EventOf<EventKind.Submit>, 'id' | 'at' | 'via' | 'prompt' | 'items'> &
  Partial<Pick<EventOf<EventKind.Submit>, 'failing' | 'maxTokens'>>;

type ChatOptions = Pick<EventOf<EventKind.Chat>, 'id' | 'at' | 'via' | 'prompt'> &
  Partial<Pick<EventOf<EventKind.Chat>, 'maxTokens' | 'stream'>>;

const computeAnswerText = (content: string, maxTokens: number): string =>
  computeAnswer({ messages: [{ role: 'user', content }], maxTokens }).tokens.join('');

export class TraceWriter {
  readonly header: Header;

  private readonly events: TraceEvent[] = [];

  private readonly expectations: Expectation[] = [];

  constructor(
    private readonly deployment: Deployment,
    header: Pick<Header, 'name' | 'description' | 'seed' | 'durationMs'>,
  ) {
    this.header = createHeader(deployment, header);
  }

  add(event: TraceEvent): void {
    this.events.push(event);
  }

  expect(expectation: Expectation): void {
    this.expectations.push(expectation);
  }

  expectOutcome(
    event: string,
    stated: Omit<ExpectationOf<ExpectationKind.Outcome>, 'expect' | 'event'>,
  ): void {
    this.expect({ expect: ExpectationKind.Outcome, event, ...stated });
  }

  /** Adds a chat without a stated outcome. */
  addChat(chat: ChatOptions): EventOf<EventKind.Chat> {
    const event = {
      kind: EventKind.Chat as const,
      model: this.deployment.model,
      maxTokens: CHAT_TOKENS,
      stream: true,
      ...chat,
    };
    this.add(event);
    return event;
  }

  /** Adds a chat that gets the whole answer, as the engine gives it to this prompt. */
  addAnsweredChat(chat: ChatOptions): void {
    const { id, prompt, maxTokens } = this.addChat(chat);
    this.expectOutcome(id, {
      outcome: RequestOutcome.Succeeded,
      answer: computeAnswerText(tagRequest(prompt, { request: id }), maxTokens),
    });
  }

  /** Adds a call that must not run twice. */
  addOrder(order: WithoutKind<Pick<EventOf<EventKind.Call>, 'id' | 'at' | 'via' | 'key'>>): void {
    this.add({
      kind: EventKind.Call,
      ...order,
      service: this.deployment.plainService.name,
      path: '/orders',
      body: `order ${order.key ?? order.id}`,
    });
  }

  /** Adds a job without a stated end. */
  addSubmission(job: JobOptions): EventOf<EventKind.Submit> {
    const event = {
      kind: EventKind.Submit as const,
      key: `key-${job.id}`,
      model: this.deployment.model,
      maxTokens: ITEM_TOKENS,
      failing: [],
      ...job,
    };
    this.add(event);
    return event;
  }

  /** States that all items end, the failing ones as `failed`, each with the engine's answer. */
  expectCompleted(job: EventOf<EventKind.Submit>): void {
    const results = Array.from({ length: job.items }, (_, index) => {
      if (job.failing.includes(index)) return { index, status: ItemStatus.Failed };
      const text = computeAnswerText(createItemPrompt(job, index), job.maxTokens);
      return { index, status: ItemStatus.Succeeded, text };
    });
    this.expect({
      expect: ExpectationKind.JobEnd,
      event: job.id,
      status: JobStatus.Completed,
      succeeded: job.items - job.failing.length,
      failed: job.failing.length,
      duplicates: 0,
      textDigest: digestResults(results),
    });
  }

  addCompletedJob(job: JobOptions): void {
    const event = this.addSubmission(job);
    this.expectOutcome(job.id, { outcome: RequestOutcome.Succeeded, status: 201 });
    this.expectCompleted(event);
  }

  /** States what holds in every trace. */
  expectInvariants(): void {
    this.expect({ expect: ExpectationKind.NotRunExecutions, count: 0 });
    this.expect({ expect: ExpectationKind.ConfigurationReverts, count: 0 });
  }

  expectFirstTokenBound(): void {
    this.expect({ expect: ExpectationKind.FirstToken, percentile: 95, limitMs: 490 });
  }

  format(): string {
    const events = this.events.toSorted((a, b) => a.at - b.at);
    const lines = [this.header, ...events, ...this.expectations];
    return `${lines.map((line) => JSON.stringify(line)).join('\n')}\n`;
  }
}
