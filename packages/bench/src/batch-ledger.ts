/** Batch attempts of a fleet, and which of their tokens and slot time were of use. */
import { isWithin, measureOverlap, type Window } from './window.js';

/** An attempt of a batch item on an engine, as far as it has come. */
export interface AttemptTimes {
  requestId: string;
  /** Tokens of earlier attempts that it continues. */
  startIndex: number;
  /** Time at which it got a slot; undefined while it waits. */
  admittedAt: number | undefined;
  firstTokenAt: number | undefined;
  tokens: number;
  /** Tokens generated within the window. */
  windowTokens: number;
}

interface Ended extends AttemptTimes {
  endedAt: number;
}

/** Sums over the window. */
export interface BatchTotals {
  /** Tokens generated, useful or not. */
  tokens: number;
  wastedTokens: number;
  completedItems: number;
  /** Time in slots, and the part that led to tokens that were kept. */
  slotMs: number;
  usefulSlotMs: number;
  preemptions: number;
}

/**
 * Slot time is useful while kept tokens are generated, and during the first prefill of an item. A
 * repeated prefill is not, but for the step that yields the first token.
 */
export class BatchLedger {
  readonly totals: BatchTotals = {
    tokens: 0,
    wastedTokens: 0,
    completedItems: 0,
    slotMs: 0,
    usefulSlotMs: 0,
    preemptions: 0,
  };

  /** Cancelled attempts whose tokens are used only if another attempt continues them. */
  private readonly cancelled = new Map<string, Ended>();

  constructor(
    private readonly window: Window,
    /** Duration of a decode step with all slots in use. */
    private readonly stepMs: number,
  ) {}

  begin(requestId: string, startIndex: number): void {
    const before = this.cancelled.get(requestId);
    if (before === undefined) return;
    this.cancelled.delete(requestId);
    const kept = Math.min(before.tokens, Math.max(0, startIndex - before.startIndex));
    this.settle(before, kept);
    // Tokens of even earlier attempts that are given up.
    const lost = Math.max(0, before.startIndex - startIndex);
    if (isWithin(this.window, before.endedAt)) this.totals.wastedTokens += lost;
  }

  complete(attempt: AttemptTimes, now: number): void {
    this.settle({ ...attempt, endedAt: now }, attempt.tokens);
    if (isWithin(this.window, now)) this.totals.completedItems += 1;
  }

  cancel(attempt: AttemptTimes, now: number): void {
    this.cancelled.set(attempt.requestId, { ...attempt, endedAt: now });
    if (isWithin(this.window, now)) this.totals.preemptions += 1;
  }

  /** Takes an attempt that the end of the run interrupts as useful. */
  interrupt(attempt: AttemptTimes, now: number): void {
    this.settle({ ...attempt, endedAt: now }, attempt.tokens);
  }

  /** Counts cancelled attempts that were never continued as waste. */
  finish(): void {
    this.cancelled.forEach((attempt) => this.settle(attempt, 0));
    this.cancelled.clear();
  }

  private settle(attempt: Ended, kept: number): void {
    const { admittedAt, firstTokenAt, endedAt, windowTokens, tokens } = attempt;
    if (admittedAt === undefined) return;
    const { totals, window } = this;
    const share = tokens === 0 ? 0 : kept / tokens;
    totals.slotMs += measureOverlap(window, admittedAt, endedAt);
    totals.tokens += windowTokens;
    totals.wastedTokens += windowTokens * (1 - share);
    if (firstTokenAt === undefined || kept === 0) return;
    totals.usefulSlotMs += measureOverlap(window, firstTokenAt, endedAt) * share;
    const isFirst = attempt.startIndex === 0;
    const usefulFrom = isFirst ? admittedAt : Math.max(admittedAt, firstTokenAt - this.stepMs);
    totals.usefulSlotMs += measureOverlap(window, usefulFrom, firstTokenAt);
  }
}
