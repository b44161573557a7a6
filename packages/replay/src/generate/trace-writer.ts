/** Collects the events and expectations of a trace and formats them in order. */
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
    expected: Omit<ExpectationOf<ExpectationKind.Outcome>, 'expect' | 'event'>,
  ): void {
    this.expect({ expect: ExpectationKind.Outcome, event, ...expected });
  }

  /** Adds a chat request without an expectation. */
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

  /** Adds a chat request and expects the complete answer that the engine gives to its prompt. */
  addAnsweredChat(chat: ChatOptions): void {
    const { id, prompt, maxTokens } = this.addChat(chat);
    this.expectOutcome(id, {
      outcome: RequestOutcome.Succeeded,
      answer: computeAnswerText(tagRequest(prompt, { request: id }), maxTokens),
    });
  }

  /** Adds a call to a non-idempotent path. */
  addOrder(order: WithoutKind<Pick<EventOf<EventKind.Call>, 'id' | 'at' | 'via' | 'key'>>): void {
    this.add({
      kind: EventKind.Call,
      ...order,
      service: this.deployment.plainService.name,
      path: '/orders',
      body: `order ${order.key ?? order.id}`,
    });
  }

  /** Adds a job submission without an expectation. */
  addJob(job: JobOptions): EventOf<EventKind.Submit> {
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

  /** Expects that the failing items fail and all others succeed with the engine's answer. */
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
    const event = this.addJob(job);
    this.expectOutcome(job.id, { outcome: RequestOutcome.Succeeded, status: 201 });
    this.expectCompleted(event);
  }

  /** Adds the expectations that every trace must meet. */
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
