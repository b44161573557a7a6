/**
 * Exponential backoff of workers that do not run batch items. An unresponsive worker appears to have the
 * most free slots, so without a growing backoff every waiting item would be sent to it in turn and time
 * out.
 */

/** Backoff after a refusal; short, since a full queue is enough to cause one. */
const REFUSAL_BACKOFF_MS = 400;

/** Backoff after the first lost run; doubles with each further one. */
const INITIAL_LOSS_BACKOFF_MS = 1500;

const MAX_LOSS_BACKOFF_MS = 12_000;

/**
 * Refusals in a row by a worker that reports free slots, after which it is backed off. An item may be too
 * large for a worker that serves others.
 */
const REFUSALS_DESPITE_ROOM = 3;

interface BackoffState {
  until: number;
  losses: number;
  /** Refusals in spite of free slots since the worker last began to run an item. */
  refusalsDespiteRoom: number;
}

const INITIAL_STATE: BackoffState = { until: -Infinity, losses: 0, refusalsDespiteRoom: 0 };

export class WorkerBackoff {
  private readonly workers = new Map<string, BackoffState>();

  constructor(
    /** Lists the workers that are ejected for the results of all VMs, or have to prove themselves. */
    private readonly listOnProbation: () => readonly string[] = () => [],
  ) {}

  isBackedOff(workerId: string, now: number): boolean {
    return this.isOwnBackoff(workerId, now) || this.listOnProbation().includes(workerId);
  }

  listBackedOff(now: number): string[] {
    const own = [...this.workers.keys()].filter((workerId) => this.isOwnBackoff(workerId, now));
    return [...new Set([...own, ...this.listOnProbation()])];
  }

  recordSuccess(workerId: string): void {
    this.workers.delete(workerId);
  }

  /** Records that the worker has begun to run an item. */
  recordStart(workerId: string): void {
    const state = this.workers.get(workerId);
    if (state !== undefined) state.refusalsDespiteRoom = 0;
  }

  recordRefusal(workerId: string, now: number, hasRoom = false): void {
    const state = this.workers.get(workerId) ?? INITIAL_STATE;
    const refusalsDespiteRoom = hasRoom ? state.refusalsDespiteRoom + 1 : 0;
    const isBackedOff = !hasRoom || refusalsDespiteRoom >= REFUSALS_DESPITE_ROOM;
    const until = isBackedOff ? Math.max(state.until, now + REFUSAL_BACKOFF_MS) : state.until;
    this.workers.set(workerId, { ...state, until, refusalsDespiteRoom });
  }

  /** Records an interrupted run; runs that are lost at the same time count once. */
  recordLoss(workerId: string, now: number): void {
    const state = this.workers.get(workerId) ?? INITIAL_STATE;
    const { until, losses } = state;
    if (until > now + REFUSAL_BACKOFF_MS) return;
    const backoffMs = Math.min(MAX_LOSS_BACKOFF_MS, INITIAL_LOSS_BACKOFF_MS * 2 ** losses);
    this.workers.set(workerId, { ...state, until: now + backoffMs, losses: losses + 1 });
  }

  private isOwnBackoff(workerId: string, now: number): boolean {
    return (this.workers.get(workerId)?.until ?? -Infinity) > now;
  }
}
