/** Validity of this VM's lease on its own monotonic clock. */
import type { LeaseGrant } from '@jujubelanding/platform';

export const LEASE_TTL_MS = 6000;
export const RENEW_INTERVAL_MS = 2000;
/** The own clock may be slower than the service's, and an effect takes time after the check. */
export const LEASE_MARGIN_MS = 1500;

export class Lease {
  private constructor(
    readonly id: string,
    private validUntil: number,
    private sentAt: number,
  ) {}

  /**
   * Creates a lease from a grant that was asked for at `sentAt`. The service counts from a later
   * moment, so the time counted from the sending is safe.
   */
  static fromGrant({ leaseId, ttlMs }: LeaseGrant, sentAt: number): Lease {
    return new Lease(leaseId, sentAt + ttlMs - LEASE_MARGIN_MS, sentAt);
  }

  /** Applies a confirmed renewal; an unconfirmed one counts as not applied. */
  renew({ ttlMs }: LeaseGrant, sentAt: number): void {
    this.validUntil = Math.max(this.validUntil, sentAt + ttlMs - LEASE_MARGIN_MS);
    this.sentAt = Math.max(this.sentAt, sentAt);
  }

  isValid(now: number): boolean {
    return now < this.validUntil;
  }

  isDueForRenewal(now: number): boolean {
    return now - this.sentAt >= RENEW_INTERVAL_MS;
  }

  endsAt(): number {
    return this.validUntil;
  }
}
