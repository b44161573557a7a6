/** A response whose body is being buffered. */
export interface BufferedBody {
  /** Number of buffered bytes. */
  readonly bytes: number;
  /** Fails the response and frees its bytes. */
  reject: () => void;
}

/**
 * Bounds the bytes that responses in progress buffer together. Beyond the limit the largest one is rejected,
 * so that servers that send without end do not cost the responses of others.
 */
export class BodyBudget {
  private readonly bodies = new Set<BufferedBody>();

  private used = 0;

  constructor(private readonly maxBytes: number) {}

  /** Counts bytes that were added to a body. */
  add(body: BufferedBody, bytes: number): void {
    this.bodies.add(body);
    this.used += bytes;
    while (this.used > this.maxBytes) {
      const [largest] = [...this.bodies].toSorted((a, b) => b.bytes - a.bytes);
      if (largest === undefined) return;
      largest.reject();
      this.release(largest);
    }
  }

  /** Ends the count of a body that is complete or was rejected. */
  release(body: BufferedBody): void {
    if (this.bodies.delete(body)) this.used -= body.bytes;
  }
}
