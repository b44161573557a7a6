/** A granted chunk and the state of its items. */
import type { ChunkGrant, SegmentItem } from '@jujubelanding/peer-protocol';
import { ItemStatus, type ItemResult } from '@jujubelanding/types';

/** First attempt and three retries, where the grant names no number. */
const DEFAULT_MAX_ATTEMPTS = 4;

export interface ItemState {
  item: SegmentItem;
  /** Attempts that ran and failed. */
  attempts: number;
  failedOn: Set<string>;
  /** Tokens received so far, from which a later attempt continues. */
  tokens: string[];
  /** Worker that may hold the KV cache of the received tokens. */
  lastWorker?: string;
}

export enum ChunkPhase {
  Running = 'running',
  Finishing = 'finishing',
  Stopped = 'stopped',
}

export class ActiveChunk {
  phase = ChunkPhase.Running;

  /** Items that wait, interrupted ones first. */
  readonly pending: ItemState[];

  private readonly results = new Map<number, ItemResult>();

  private readonly itemCount: number;

  constructor(
    readonly grant: ChunkGrant,
    items: readonly SegmentItem[],
    /** Time of the last request that the job owner answered. */
    public lastContactAt: number,
  ) {
    this.itemCount = items.length;
    this.pending = items.map((item) => ({
      item,
      attempts: 0,
      failedOn: new Set<string>(),
      tokens: [],
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

  /** Notes that the job owner has judged the grant after this time. */
  confirmContact(at: number): void {
    this.lastContactAt = Math.max(this.lastContactAt, at);
  }

  removePending(work: ItemState): void {
    const position = this.pending.indexOf(work);
    if (position >= 0) this.pending.splice(position, 1);
  }

  /** Puts an item back; it goes first, because its tokens are cached on a worker for a while only. */
  requeue(work: ItemState): void {
    this.pending.unshift(work);
  }

  recordSuccess(work: ItemState): void {
    this.recordResult(work, { status: ItemStatus.Succeeded, text: work.tokens.join('') });
  }

  recordFailure(work: ItemState, reason: string): void {
    this.recordResult(work, { status: ItemStatus.Failed, reason });
  }

  listResults(): ItemResult[] {
    return [...this.results.values()].toSorted((a, b) => a.index - b.index);
  }

  private recordResult(
    work: ItemState,
    outcome: Pick<ItemResult, 'status' | 'text' | 'reason'>,
  ): void {
    const { index, itemId } = work.item;
    const isSuccess = outcome.status === ItemStatus.Succeeded;
    const attempts = work.attempts + (isSuccess ? 1 : 0);
    this.results.set(index, { index, itemId, ...outcome, attempts });
  }
}
