import type { Fault } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { Backoff } from './backoff.js';
import { Lease, LEASE_TTL_MS } from './lease.js';
import { isLeaseEnded } from './ownership-store.js';

/**
 * Time after which an unanswered renewal is sent again, in parallel to the first one. Waiting for the
 * call timeout would take too long: two lost replies in a row would end the lease.
 */
const RENEWAL_RESEND_DELAY_MS = 750;
const MAX_OPEN_RENEWALS = 3;
const REVOKE_ATTEMPTS = 3;

/** Obtains, renews and revokes the single lease of this VM. */
export class LeaseKeeper {
  private lease: Lease | undefined;

  /** Number of renewals in progress. */
  private openRenewals = 0;

  private renewSentAt = 0;

  private readonly backoff: Backoff;

  constructor(
    private readonly io: Pick<EntryVmIo, 'timer' | 'random' | 'store'>,
    private readonly log: Log,
  ) {
    this.backoff = new Backoff(io.random);
  }

  current(): Lease | undefined {
    return this.lease;
  }

  isValid(): boolean {
    return this.lease?.isValid(this.io.timer.now()) ?? false;
  }

  /**
   * Returns a valid lease and requests one if there is none. If the reply is lost, the granted lease
   * cannot be found again, since its id is unknown; no key is attached to it and it expires.
   */
  async obtain(): Promise<Lease | undefined> {
    if (this.lease !== undefined) return this.isValid() ? this.lease : undefined;
    const sentAt = this.io.timer.now();
    const granted = await this.io.store.grantLease(LEASE_TTL_MS);
    if (granted.isErr()) {
      this.reportFault('lease-not-granted', granted.error);
      return undefined;
    }
    this.lease = Lease.fromGrant(granted.value, sentAt);
    return this.isValid() ? this.lease : undefined;
  }

  /** Renews the lease if due; an unconfirmed renewal is repeated and does not extend the lease. */
  async renewIfDue(): Promise<void> {
    const { lease } = this;
    const now = this.io.timer.now();
    if (lease === undefined || !lease.isDueForRenewal(now) || !this.backoff.isDue(now)) return;
    const isOverdue = now - this.renewSentAt >= RENEWAL_RESEND_DELAY_MS;
    if (this.openRenewals >= MAX_OPEN_RENEWALS || (this.openRenewals > 0 && !isOverdue)) return;
    this.renewSentAt = now;
    this.openRenewals += 1;
    const renewed = await this.io.store.renewLease(lease.id);
    this.openRenewals -= 1;
    if (renewed.isOk()) {
      this.backoff.recordSuccess();
      lease.renew(renewed.value, now);
      return;
    }
    this.backoff.recordFailure(this.io.timer.now());
    this.reportFault('lease-not-renewed', renewed.error);
    if (isLeaseEnded(renewed.error) && this.lease === lease) this.lease = undefined;
  }

  /** Revokes the lease, which removes all ownership keys under it. */
  async revoke(): Promise<void> {
    const { lease } = this;
    this.lease = undefined;
    if (lease === undefined) return;
    for (let attempt = 1; attempt <= REVOKE_ATTEMPTS; attempt += 1) {
      const revoked = await this.io.store.revokeLease(lease.id);
      if (revoked.isOk() || isLeaseEnded(revoked.error)) return;
      this.reportFault('lease-not-revoked', revoked.error);
    }
  }

  private reportFault(event: string, fault: Fault): void {
    this.log.write(event, { code: fault.code, outcome: fault.outcome, message: fault.message });
  }
}
