/** A granted chunk and the state of its items. */
import { ItemBackoff } from '@jujubelanding/item-backoff';
import type { ChunkGrant, SegmentItem } from '@jujubelanding/peer-protocol';
import { ItemStatus, type ItemResult } from '@jujubelanding/types';

/** First attempt and three retries; used when the grant sets no maximum. */
const DEFAULT_MAX_ATTEMPTS = 4;

export interface ItemExecutionState {
  item: SegmentItem;
  /** Counted attempts, all of which failed. */
  attempts: number;
  failedOn: Set<string>;
  /** Tokens received so far, from which the next attempt resumes. */
  tokens: string[];
  /** Worker that may still have the received tokens in its KV cache. */
  lastWorker?: string;
  /** Refusals in a row. */
  refusals: ItemBackoff;
  /** Earliest start of the next attempt, on the monotonic clock. */
  notBefore: number;
}

export enum ChunkPhase {
  Running = 'running',
  Finishing = 'finishing',
  Stopped = 'stopped',
}

export class ActiveChunk {
  phase = ChunkPhase.Running;

  /** Items waiting for a slot, interrupted ones first. */
  readonly pending: ItemExecutionState[];

  private readonly results = new Map<number, ItemResult>();

  private readonly itemCount: number;

  constructor(
    readonly grant: ChunkGrant,
    items: readonly SegmentItem[],
    /** Monotonic time at which the last request that the job owner answered was sent. */
    public lastContactAt: number,
  ) {
    this.itemCount = items.length;
    this.pending = items.map((item) => ({
      item,
      attempts: 0,
      failedOn: new Set<string>(),
      tokens: [],
      refusals: new ItemBackoff(),
      notBefore: 0,
    }));
  }

  get maxAttempts(): number {
    return this.grant.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  }

  get isDone(): boolean {
    return this.results.size === this.itemCount;
  }

  get finishedCount(): number {
    return this.results.size;
  }

  /** Records that the job owner confirmed the grant in reply to a message sent at this time. */
  confirmContact(at: number): void {
    this.lastContactAt = Math.max(this.lastContactAt, at);
  }

  /** Counts the pending items that do not wait after refusals. */
  countStartable(now: number): number {
    return this.pending.filter(({ notBefore }) => notBefore <= now).length;
  }

  removePending(state: ItemExecutionState): void {
    const position = this.pending.indexOf(state);
    if (position >= 0) this.pending.splice(position, 1);
  }

  /** Puts an item at the front of the queue, because its tokens stay cached on a worker only for a while. */
  requeue(state: ItemExecutionState): void {
    this.pending.unshift(state);
  }

  recordSuccess(state: ItemExecutionState): void {
    this.recordResult(state, { status: ItemStatus.Succeeded, text: state.tokens.join('') });
  }

  recordFailure(state: ItemExecutionState, reason: string): void {
    this.recordResult(state, { status: ItemStatus.Failed, reason });
  }

  listResults(): ItemResult[] {
    return [...this.results.values()].toSorted((a, b) => a.index - b.index);
  }

  private recordResult(
    state: ItemExecutionState,
    outcome: Pick<ItemResult, 'status' | 'text' | 'reason'>,
  ): void {
    const { index, itemId } = state.item;
    const isSuccess = outcome.status === ItemStatus.Succeeded;
    const attempts = state.attempts + (isSuccess ? 1 : 0);
    this.results.set(index, { index, itemId, ...outcome, attempts });
  }
}
