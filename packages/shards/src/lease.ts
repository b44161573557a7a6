/** Validity of this VM's lease on the local monotonic clock. */
import type { LeaseGrant } from '@jujubelanding/platform';

export const LEASE_TTL_MS = 6000;
export const RENEWAL_INTERVAL_MS = 2000;
/**
 * Safety margin: the local clock may run slower than the service's, and the effects of an operation
 * may occur some time after the lease was checked.
 */
export const LEASE_MARGIN_MS = 1500;

/** A granted lease, valid until a margin before the service ends it. */
export class Lease {
  private constructor(
    readonly id: string,
    private validUntil: number,
    private sentAt: number,
  ) {}

  /**
   * Creates a lease from a grant that was requested at `sentAt`. The service starts the TTL later, so
   * counting from `sentAt` is safe.
   */
  static fromGrant({ leaseId, ttlMs }: LeaseGrant, sentAt: number): Lease {
    return new Lease(leaseId, sentAt + ttlMs - LEASE_MARGIN_MS, sentAt);
  }

  /** Applies a confirmed renewal; an unconfirmed one must not extend the lease. */
  renew({ ttlMs }: LeaseGrant, sentAt: number): void {
    this.validUntil = Math.max(this.validUntil, sentAt + ttlMs - LEASE_MARGIN_MS);
    this.sentAt = Math.max(this.sentAt, sentAt);
  }

  isValid(now: number): boolean {
    return now < this.validUntil;
  }

  isDueForRenewal(now: number): boolean {
    return now - this.sentAt >= RENEWAL_INTERVAL_MS;
  }

  endsAt(): number {
    return this.validUntil;
  }
}
