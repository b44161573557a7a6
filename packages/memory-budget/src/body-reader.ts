/** Reads the bodies of callers and refuses those that stop arriving. */
import type { IncomingMessage } from 'node:http';
import { BodyReceipt, type BodyOutcome, type BodyReceiptOptions } from './body-receipt.js';
import { StreamedBody } from './streamed-body.js';

/** Time in which a caller can read the refusal of its body before the connection is closed. */
export const LINGER_MS = 500;

const CHECK_INTERVAL_MS = 1000;

export class BodyReader {
  private readonly receipts = new Set<BodyReceipt | StreamedBody>();

  private isChecking = false;

  constructor(private readonly options: BodyReceiptOptions) {}

  /** Resolves with undefined if the caller disconnects. A refused body is not read any further. */
  read(message: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
    return new Promise((resolve) => {
      const receipt = new BodyReceipt(this.options, message, maxBytes, (outcome) => {
        this.receipts.delete(receipt);
        resolve(outcome);
      });
      this.receipts.add(receipt);
      receipt.start();
      this.startChecks();
    });
  }

  /** Opens a body that is processed while it arrives; to be closed in the end. */
  open(): StreamedBody {
    const body = new StreamedBody(this.options, () => this.receipts.delete(body));
    this.receipts.add(body);
    this.startChecks();
    return body;
  }

  /** Checks for stalled bodies while there are any bodies. */
  private startChecks(): void {
    if (this.isChecking || this.receipts.size === 0) return;
    this.isChecking = true;
    const { timer } = this.options;
    timer.after(CHECK_INTERVAL_MS, () => {
      this.isChecking = false;
      const now = timer.now();
      [...this.receipts].forEach((receipt) => receipt.checkStall(now));
      this.startChecks();
    });
  }
}
