/** Batch streams of one worker and its current slot limit. */
import {
  choosePreemptions,
  type CapacityPolicy,
  type CapacityState,
  type WorkerUsage,
} from '@jujubelanding/batch-capacity';
import type { CancelCause } from './attempt-decision.js';
import type { ActiveChunk, ItemExecutionState } from './active-chunk.js';

/** A batch item in progress on a worker. */
export interface RunningItem {
  requestId: string;
  chunk: ActiveChunk;
  state: ItemExecutionState;
  workerId: string;
  startedAt: number;
  lastTokenAt: number;
  abort: AbortController;
  /** Reason for the cancellation; set once the executor has cancelled the stream. */
  cause?: CancelCause;
}

/** Cancels a stream and records the cause, unless it was cancelled before. */
export const cancelItem = (running: RunningItem, cause: CancelCause): void => {
  if (running.cause !== undefined) return;
  running.cause = cause;
  running.abort.abort();
};

export class WorkerSlots {
  readonly running = new Set<RunningItem>();

  limit = 0;

  /** Monotonic time until which no item is dispatched after a refusal. */
  pausedUntil = 0;

  private state: CapacityState | undefined;

  constructor(
    readonly workerId: string,
    private readonly policy: CapacityPolicy,
  ) {}

  /** Free slots; a cancelled stream occupies its slot until it ends. */
  get free(): number {
    return Math.max(0, this.limit - this.running.size);
  }

  updateLimit(usage: WorkerUsage, now: number): void {
    const { limit, state } = this.policy.decide(this.state, usage, now);
    this.state = state;
    this.limit = limit;
  }

  /** Chooses the streams to cancel when there are more than the limit, least progress first. */
  listOverLimit(): RunningItem[] {
    const active = [...this.running]
      .filter(({ cause }) => cause === undefined)
      .map((running) => ({
        running,
        requestId: running.requestId,
        tokens: running.state.tokens.length,
        startedAt: running.startedAt,
      }));
    return choosePreemptions(active, this.limit).map(({ running }) => running);
  }
}
