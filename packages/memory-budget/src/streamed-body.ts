/** Receives a body whose items are processed while it arrives, within the memory budget. */
import type { Fault } from '@jujubelanding/errors';
import { createMemoryFault, STALL_MS, type BodyReceiptOptions } from './body-receipt.js';
import { BodyRefusedError } from './body-refused-error.js';
import { RefusalReason } from './caller-refusals.js';
import { CollectedBody } from './collected-body.js';
import { MemoryPurpose, type Reservation } from './memory-budget.js';

/** Smaller parts are joined, because each part costs objects besides its bytes. */
const MIN_PART_BYTES = 16_384;

/** Processed items that are kept until they are stored together. */
const MAX_KEPT_BYTES = 2 * 1024 * 1024;

/** Memory of an item that is not stored yet, as a multiple of its bytes: its text and its stored form. */
const ITEM_MEMORY_FACTOR = 3;

interface PartReader {
  read(): Promise<{ done: boolean; value?: Uint8Array | undefined }>;
}

export class StreamedBody {
  private readonly reservation: Reservation;

  private received = 0;

  /** Bytes received up to the end of the last processed item. */
  private processed = 0;

  /** Time since which the next bytes are awaited; undefined while none are. */
  private waitingSince: number | undefined;

  private reject: (error: Error) => void = () => {};

  /** Reason for which the body is not read any further. */
  refusal: Fault | undefined;

  constructor(
    private readonly options: BodyReceiptOptions,
    private readonly onClose: () => void,
  ) {
    this.reservation = options.budget.open(MemoryPurpose.BatchJob, () => this.drop());
  }

  /** Yields the body in parts of some size; throws once it is refused. */
  async *read(reader: PartReader): AsyncGenerator<Uint8Array> {
    const collected = new CollectedBody();
    for (;;) {
      const { done, value } = await this.wait(reader.read());
      if (value !== undefined) {
        collected.add(value);
        this.received += value.length;
        if (!this.resize(value.length)) this.drop();
      }
      if (done && !this.keep()) throw new BodyRefusedError(this.refusal!);
      if (collected.size >= MIN_PART_BYTES || (done && collected.size > 0)) {
        const part = collected.join();
        collected.size = 0;
        yield part;
      }
      if (done) return;
    }
  }

  /** Records that an item has been processed. */
  completeItem(): void {
    this.processed = this.received;
    this.resize(0);
  }

  /** Refuses the body if its next bytes do not arrive. */
  checkStall(now: number): void {
    if (this.waitingSince === undefined || now - this.waitingSince < STALL_MS) return;
    this.refuse(RefusalReason.BodyStalled, createMemoryFault('the body has stopped arriving'));
  }

  /** Gives the memory back. */
  close(): void {
    this.reservation.release();
    this.onClose();
  }

  private get cost(): number {
    const kept = Math.min(this.processed, MAX_KEPT_BYTES);
    const bytes = this.received - this.processed + kept;
    return this.options.budget.estimate(bytes, ITEM_MEMORY_FACTOR);
  }

  private resize(progress: number): boolean {
    return this.refusal === undefined && this.reservation.resize(this.cost, progress);
  }

  /** Keeps the memory of a complete body, whose job may be stored from now on. */
  private keep(): boolean {
    if (!this.reservation.keep(MemoryPurpose.BatchJob, this.cost)) this.drop();
    return this.refusal === undefined;
  }

  private wait<T>(part: Promise<T>): Promise<T> {
    this.waitingSince = this.options.timer.now();
    return new Promise<T>((resolve, reject) => {
      this.reject = reject;
      part.then(resolve, reject);
      if (this.refusal !== undefined) reject(new BodyRefusedError(this.refusal));
    }).finally(() => {
      this.waitingSince = undefined;
    });
  }

  private drop(): void {
    const fault = createMemoryFault('the memory for batch jobs is used up');
    this.refuse(RefusalReason.BatchJob, fault);
  }

  private refuse(reason: RefusalReason, fault: Fault): void {
    if (this.refusal !== undefined) return;
    this.refusal = fault;
    const { received } = this;
    const { usedBytes } = this.options.budget;
    this.options.refusals.record(reason, { received, usedBytes });
    this.reservation.release();
    this.reject(new BodyRefusedError(fault));
  }
}
