/** Batch attempts of a fleet, and which of their tokens and slot time were of use. */
import { isInWindow, measureOverlap, type MeasurementWindow } from './measurement-window.js';

/** An attempt of a batch item on an engine, as far as it has come. */
export interface AttemptUsage {
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

interface EndedAttempt extends AttemptUsage {
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
  private readonly cancelled = new Map<string, EndedAttempt>();

  constructor(
    private readonly window: MeasurementWindow,
    /** Duration of a decode step with all slots in use. */
    private readonly stepMs: number,
  ) {}

  startAttempt(requestId: string, startIndex: number): void {
    const previous = this.cancelled.get(requestId);
    if (previous === undefined) return;
    this.cancelled.delete(requestId);
    const kept = Math.min(previous.tokens, Math.max(0, startIndex - previous.startIndex));
    this.addUsage(previous, kept);
    // Tokens of even earlier attempts that are given up.
    const discarded = Math.max(0, previous.startIndex - startIndex);
    if (isInWindow(this.window, previous.endedAt)) this.totals.wastedTokens += discarded;
  }

  completeAttempt(attempt: AttemptUsage, now: number): void {
    this.addUsage({ ...attempt, endedAt: now }, attempt.tokens);
    if (isInWindow(this.window, now)) this.totals.completedItems += 1;
  }

  cancelAttempt(attempt: AttemptUsage, now: number): void {
    this.cancelled.set(attempt.requestId, { ...attempt, endedAt: now });
    if (isInWindow(this.window, now)) this.totals.preemptions += 1;
  }

  /** Takes an attempt that the end of the run interrupts as useful. */
  interruptAttempt(attempt: AttemptUsage, now: number): void {
    this.addUsage({ ...attempt, endedAt: now }, attempt.tokens);
  }

  /** Counts cancelled attempts that were never continued as waste. */
  discardCancelled(): void {
    this.cancelled.forEach((attempt) => this.addUsage(attempt, 0));
    this.cancelled.clear();
  }

  private addUsage(attempt: EndedAttempt, kept: number): void {
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
