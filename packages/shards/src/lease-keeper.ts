import type { Fault } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { Backoff } from './backoff.js';
import { Lease, LEASE_TTL_MS } from './lease.js';
import { isLeaseEnded } from './ownership-store.js';

/**
 * Time after which an unanswered renewal is sent again beside the first one. The timeout of a call is
 * too long for that: two lost replies in a row would end the lease.
 */
const RENEW_RESEND_AFTER_MS = 750;
const MAX_CONCURRENT_RENEWALS = 3;
const REVOKE_ATTEMPTS = 3;

/** Grants, renews and revokes this VM's one lease. */
export class LeaseKeeper {
  private lease: Lease | undefined;

  /** Renewals in progress. */
  private renewalsInProgress = 0;

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
   * Returns a valid lease, granting one where there is none. The grant of a lost reply cannot be
   * found again, since its id is unknown; nothing is attached to it and it ends by itself.
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

  /** Renews the lease when due; an unconfirmed renewal is repeated and does not extend it. */
  async renewIfDue(): Promise<void> {
    const { lease } = this;
    const now = this.io.timer.now();
    if (lease === undefined || !lease.isDueForRenewal(now) || !this.backoff.isDue(now)) return;
    const isOverdue = now - this.renewSentAt >= RENEW_RESEND_AFTER_MS;
    if (
      this.renewalsInProgress >= MAX_CONCURRENT_RENEWALS ||
      (this.renewalsInProgress > 0 && !isOverdue)
    )
      return;
    this.renewSentAt = now;
    this.renewalsInProgress += 1;
    const renewed = await this.io.store.renewLease(lease.id);
    this.renewalsInProgress -= 1;
    if (renewed.isOk()) {
      this.backoff.recordSuccess();
      lease.renew(renewed.value, now);
      return;
    }
    this.backoff.recordFailure(this.io.timer.now());
    this.reportFault('lease-not-renewed', renewed.error);
    if (isLeaseEnded(renewed.error) && this.lease === lease) this.lease = undefined;
  }

  /** Ends the lease and with it all ownership keys. */
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
