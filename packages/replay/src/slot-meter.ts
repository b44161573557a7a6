/** Counts online and batch streams of one worker and records when there were too many batch streams. */

/** Period in which batch streams exceeded the slots left free by online requests. */
export interface SlotExcess {
  startedAt: number;
  /** Undefined while the excess lasts. */
  endedAt?: number;
}

export enum StreamKind {
  Online = 'online',
  Batch = 'batch',
}

export class SlotMeter {
  readonly excesses: SlotExcess[] = [];

  /** Number of running streams by kind. */
  private readonly held: Record<StreamKind, number> = {
    [StreamKind.Online]: 0,
    [StreamKind.Batch]: 0,
  };

  constructor(
    private readonly slots: number,
    private readonly now: () => number,
  ) {}

  /** Counts a stream until the returned function is called. */
  countStream(kind: StreamKind): () => void {
    let isRunning = true;
    this.adjustCount(kind, 1);
    return () => {
      if (isRunning) this.adjustCount(kind, -1);
      isRunning = false;
    };
  }

  private adjustCount(kind: StreamKind, amount: number): void {
    this.held[kind] += amount;
    const freeSlots = Math.max(0, this.slots - this.held[StreamKind.Online]);
    const last = this.excesses.at(-1);
    const isOngoing = last !== undefined && last.endedAt === undefined;
    if (this.held[StreamKind.Batch] > freeSlots) {
      if (!isOngoing) this.excesses.push({ startedAt: this.now() });
    } else if (isOngoing) {
      last.endedAt = this.now();
    }
  }
}
