/** Memory of responses that their callers have not read. */
import type { ServerResponse } from 'node:http';
import type { Reservation } from './memory-budget.js';

/** Reserves memory for what the caller has not read; calls back if the response is dropped. */
export type OpenUnread = (drop: () => void) => Reservation;

/** Accounts what is written to a response and not read, so that it takes no memory of other callers. */
export class UnreadBytes {
  /** Undefined until a write was not taken at once. */
  private reservation: Reservation | undefined;

  private isReleaseScheduled = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly open: OpenUnread,
  ) {}

  /** Counts what is waiting to be sent; closes the connection if there is no memory for it. */
  track(): void {
    const { response } = this;
    const bytes = response.writableLength;
    if (bytes === 0 || response.destroyed) return;
    if (this.reservation === undefined) {
      this.reservation = this.open(() => response.destroy());
      this.releaseWhenRead();
    }
    if (!this.reservation.resize(bytes, 1)) response.destroy();
  }

  /** Gives the memory back once the caller has read what was written; later writes are judged anew. */
  private releaseWhenRead(): void {
    if (this.isReleaseScheduled) return;
    this.isReleaseScheduled = true;
    const release = (): void => {
      this.reservation?.release();
      this.reservation = undefined;
    };
    this.response.on('drain', release);
    this.response.once('close', release);
  }
}
