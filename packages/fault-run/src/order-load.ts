/** Sends non-idempotent orders, and resends unanswered ones through other entry VMs. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createAgent } from '@jujubelanding/http-connections';
import { request } from 'undici';
import { type EntryPointList, repeatInParallel } from './entry-point-list.js';
import { ORDER_SERVICE_NAME } from './order-service.js';

const CALLER_COUNT = 3;

const MAX_ATTEMPTS = 3;

const PAUSE_MS = 100;

const TIMEOUT_MS = 8000;

const STATUS_OK = 200;

/** Outcome of an attempt as seen by the caller. */
enum AttemptOutcome {
  Answered = 'answered',
  NotRun = 'not-run',
  Unclear = 'unclear',
}

export class OrderLoad {
  /** Orders whose every attempt was refused as not-run. */
  readonly refused = new Set<string>();

  readonly answered = new Set<string>();

  readonly problems: string[] = [];

  private orderCount = 0;

  private readonly agent = createAgent({ headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS });

  constructor(
    private readonly entryPoints: EntryPointList,
    private readonly teamKey: string,
  ) {}

  start(): () => Promise<void> {
    return repeatInParallel(CALLER_COUNT, async () => {
      this.orderCount += 1;
      await this.placeOrder(`order-${this.orderCount}`);
      await sleep(PAUSE_MS);
    });
  }

  /** Compares the outcomes seen by callers with the executions. */
  check(executions: ReadonlyMap<string, number>): string[] {
    const repeated = [...executions]
      .filter(([, count]) => count > 1)
      .map(([order, count]) => `${order} ran ${count} times`);
    const ranThoughRefused = [...this.refused]
      .filter((order) => executions.has(order))
      .map((order) => `${order} ran although every attempt was refused as not-run`);
    const lost = [...this.answered]
      .filter((order) => !executions.has(order))
      .map((order) => `${order} was answered but did not run`);
    return [...this.problems, ...repeated, ...ranThoughRefused, ...lost];
  }

  private async placeOrder(order: string): Promise<void> {
    const outcomes: AttemptOutcome[] = [];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const outcome = await this.attempt(order);
      outcomes.push(outcome);
      if (outcome === AttemptOutcome.Answered) {
        this.answered.add(order);
        return;
      }
    }
    if (outcomes.every((outcome) => outcome === AttemptOutcome.NotRun)) this.refused.add(order);
  }

  private async attempt(order: string): Promise<AttemptOutcome> {
    const address = this.entryPoints.chooseNext().listening.callerAddress!;
    try {
      const { statusCode, body } = await request(
        `http://${address}/services/${ORDER_SERVICE_NAME}/orders`,
        {
          method: 'POST',
          dispatcher: this.agent,
          headers: { authorization: `Bearer ${this.teamKey}`, 'idempotency-key': order },
          body: order,
        },
      );
      const text = await body.text();
      if (statusCode === STATUS_OK) {
        if (text !== order) this.problems.push(`${order} got the answer ${text}`);
        return AttemptOutcome.Answered;
      }
      return text.includes('"outcome":"not-run"') ? AttemptOutcome.NotRun : AttemptOutcome.Unclear;
    } catch {
      return AttemptOutcome.Unclear;
    }
  }
}
