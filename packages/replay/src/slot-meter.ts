/** Counts online and batch streams of one worker and the times at which batch had too many. */

/** A time during which batch streams exceeded the slots that online requests left free. */
export interface Excess {
  startedAt: number;
  /** Missing while the excess lasts. */
  endedAt?: number;
}

export enum StreamKind {
  Online = 'online',
  Batch = 'batch',
}

export class SlotMeter {
  readonly excesses: Excess[] = [];

  private readonly held: Record<StreamKind, number> = {
    [StreamKind.Online]: 0,
    [StreamKind.Batch]: 0,
  };

  constructor(
    private readonly slots: number,
    private readonly now: () => number,
  ) {}

  /** Counts a stream; call the returned function at its end. */
  hold(kind: StreamKind): () => void {
    let isHeld = true;
    this.change(kind, 1);
    return () => {
      if (isHeld) this.change(kind, -1);
      isHeld = false;
    };
  }

  private change(kind: StreamKind, amount: number): void {
    this.held[kind] += amount;
    const room = Math.max(0, this.slots - this.held[StreamKind.Online]);
    const last = this.excesses.at(-1);
    const isOpen = last !== undefined && last.endedAt === undefined;
    if (this.held[StreamKind.Batch] > room) {
      if (!isOpen) this.excesses.push({ startedAt: this.now() });
    } else if (isOpen) {
      last.endedAt = this.now();
    }
  }
}
