/** Receives one body within the memory budget. */
import type { IncomingMessage } from 'node:http';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import { RefusalReason, type CallerRefusals } from './caller-refusals.js';
import { CollectedBody } from './collected-body.js';
import { MemoryPurpose, type MemoryBudget, type Reservation } from './memory-budget.js';

/** Time without a byte after which a body is refused. */
export const STALL_MS = 10_000;

/** Time until memory is likely to be free again. */
const RETRY_AFTER_MS = 1000;

const STEP = 'read-body';

export interface ReceivedBody {
  body: Buffer;
  /** Memory of the body; to be released once no attempt needs it. */
  reservation: Reservation;
}

export interface BodyReceiptOptions {
  timer: Timer;
  budget: MemoryBudget;
  refusals: CallerRefusals;
  /** Memory of a request in progress as a multiple of its body; 1 by default. */
  keptFactor?: number;
}

export type BodyOutcome = Result<ReceivedBody, Fault> | undefined;

export const createMemoryFault = (message: string): Fault => ({
  code: FaultCode.Overloaded,
  outcome: Outcome.NotRun,
  step: STEP,
  message,
  retryAfterMs: RETRY_AFTER_MS,
});

const createTooLargeFault = (limit: number): Fault => ({
  code: FaultCode.TooLarge,
  outcome: Outcome.NotRun,
  step: STEP,
  message: `the body is longer than ${limit} bytes`,
});

/** A body that is being received. */
export class BodyReceipt {
  private readonly collected = new CollectedBody();

  private readonly reservation: Reservation;

  private isSettled = false;

  private lastAt: number;

  constructor(
    private readonly options: BodyReceiptOptions,
    private readonly message: IncomingMessage,
    private readonly maxBytes: number,
    private readonly settleWith: (outcome: BodyOutcome) => void,
  ) {
    this.lastAt = options.timer.now();
    this.reservation = options.budget.open(MemoryPurpose.Receiving, () => this.drop());
  }

  start(): void {
    const { message, maxBytes } = this;
    if (message.destroyed) {
      this.settle(undefined);
      return;
    }
    if (Number(message.headers['content-length'] ?? 0) > maxBytes) {
      this.rejectLength();
      return;
    }
    message.on('data', (chunk: Buffer) => this.receive(chunk));
    message.once('end', () => this.complete());
    const disconnect = (): void => this.settle(undefined);
    message.once('error', disconnect);
    message.once('close', disconnect);
  }

  /** Refuses the body if nothing has arrived for too long. */
  checkStall(now: number): void {
    if (now - this.lastAt < STALL_MS) return;
    this.refuse(RefusalReason.BodyStalled, createMemoryFault('the body has stopped arriving'));
  }

  private receive(chunk: Buffer): void {
    if (this.isSettled) return;
    this.lastAt = this.options.timer.now();
    this.collected.add(chunk);
    if (this.collected.size > this.maxBytes) {
      this.rejectLength();
      return;
    }
    if (!this.reservation.resize(this.collected.cost, chunk.length)) this.drop();
  }

  private complete(): void {
    if (this.isSettled) return;
    const { budget, keptFactor = 1 } = this.options;
    const bytes = budget.estimate(this.collected.size, keptFactor);
    if (!this.reservation.keep(MemoryPurpose.Kept, bytes)) {
      this.drop();
      return;
    }
    this.settle(ok({ body: this.collected.join(), reservation: this.reservation }));
  }

  private rejectLength(): void {
    this.refuse(RefusalReason.BodyTooLarge, createTooLargeFault(this.maxBytes));
  }

  private drop(): void {
    const fault = createMemoryFault('the memory for requests is used up');
    this.refuse(RefusalReason.BodyDropped, fault);
  }

  private refuse(reason: RefusalReason, fault: Fault): void {
    if (this.isSettled) return;
    this.options.refusals.record(reason, {
      received: this.collected.size,
      sinceLastMs: Math.round(this.options.timer.now() - this.lastAt),
      usedBytes: this.options.budget.usedBytes,
    });
    this.message.pause();
    this.settle(err(fault));
  }

  private settle(outcome: BodyOutcome): void {
    if (this.isSettled) return;
    this.isSettled = true;
    if (outcome?.isOk() !== true) {
      this.collected.clear();
      this.reservation.release();
    }
    this.settleWith(outcome);
  }
}
