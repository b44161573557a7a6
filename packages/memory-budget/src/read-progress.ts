/** Finds out whether the receiver of a connection reads what is sent to it. */

/** What has been sent on a connection. */
export interface SentBytes {
  /** Bytes that the kernel has taken. */
  taken: number;
  /** Those of them that the receiver's machine has not acknowledged; undefined if that is not known. */
  unacknowledged: number | undefined;
}

/** Progress of the receiver of one connection since its last response could not be written in full. */
export class ReadProgress {
  private acknowledged: number | undefined;

  constructor(
    private lastAt: number,
    private taken: number,
  ) {}

  /** Returns the time since the receiver was last seen to read. */
  observe(now: number, { taken, unacknowledged }: SentBytes): number {
    const acknowledged = unacknowledged === undefined ? undefined : taken - unacknowledged;
    const hasTaken = taken > this.taken;
    const hasAcknowledged =
      acknowledged !== undefined &&
      this.acknowledged !== undefined &&
      acknowledged > this.acknowledged;
    if (hasTaken || hasAcknowledged) this.lastAt = now;
    this.taken = taken;
    this.acknowledged = acknowledged ?? this.acknowledged;
    return now - this.lastAt;
  }
}
