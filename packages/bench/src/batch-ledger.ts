/**
 * Accounts for the tokens and the slot time of batch attempts, and for how much of each was useful.
 */
import { isInWindow, measureOverlap, type MeasurementWindow } from './measurement-window.js';

/** Usage of an attempt of a batch item on an engine so far. */
export interface AttemptUsage {
  requestId: string;
  /** Number of tokens kept from earlier attempts, which this attempt continues. */
  startIndex: number;
  /** Time at which it got a slot; undefined while it is queued. */
  admittedAt: number | undefined;
  firstTokenAt: number | undefined;
  tokens: number;
  /** Tokens generated within the measurement window. */
  windowTokens: number;
}

interface EndedAttempt extends AttemptUsage {
  endedAt: number;
}

/** Totals over the measurement window. */
export interface BatchTotals {
  /** All generated tokens, including wasted ones. */
  tokens: number;
  wastedTokens: number;
  completedItems: number;
  /** Time for which slots were held. */
  slotMs: number;
  /** Time in slots that led to kept tokens, as `BatchLedger` defines it. */
  usefulSlotMs: number;
  preemptions: number;
}

/**
 * Records attempts and computes the totals. Slot time counts as useful while kept tokens are
 * generated and during the first prefill of an item. A repeated prefill does not count, except for
 * the decode step that yields the first token.
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

  /**
   * Cancelled attempts by request; their tokens count as useful only if a later attempt continues
   * them.
   */
  private readonly cancelled = new Map<string, EndedAttempt>();

  constructor(
    private readonly window: MeasurementWindow,
    /** Duration of a decode step with all slots in use. */
    private readonly stepMs: number,
  ) {}

  /**
   * Adds the usage of the cancelled attempt that the new attempt follows. The start index of the new
   * attempt shows how many tokens of the cancelled one are kept.
   */
  startAttempt(requestId: string, startIndex: number): void {
    const previous = this.cancelled.get(requestId);
    if (previous === undefined) return;
    this.cancelled.delete(requestId);
    const kept = Math.min(previous.tokens, Math.max(0, startIndex - previous.startIndex));
    this.addUsage(previous, kept);
    // Tokens of the attempts before the previous one that the new attempt generates again.
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

  /** Counts an attempt that is still running at the end of the run as useful. */
  interruptAttempt(attempt: AttemptUsage, now: number): void {
    this.addUsage({ ...attempt, endedAt: now }, attempt.tokens);
  }

  /** Counts the tokens of cancelled attempts that were never continued as wasted. */
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
