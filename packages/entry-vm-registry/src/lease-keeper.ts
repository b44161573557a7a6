import { FaultCode } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { TransactionalStore } from '@jujubelanding/platform';
import type { Subscription, Timer } from '@jujubelanding/timer';

/** TTL of the lease; the keys of a failed VM are removed after this time. */
const LEASE_TTL_MS = 3000;

/**
 * Time between two renewals, counted from the start of the calls. A renewal that gets no answer within the
 * 0.7 s that a call may take is repeated a second before the lease ends.
 */
const RENEWAL_INTERVAL_MS = 1000;

/** Delay after a failed attempt to obtain or renew a lease. */
const RETRY_DELAY_MS = 300;

export interface LeaseKeeperOptions {
  store: Pick<TransactionalStore, 'grantLease' | 'renewLease' | 'revokeLease'>;
  timer: Timer;
  log: Log;
  /** Called with each new lease; keys under an earlier lease are removed or about to be. */
  onLease: (leaseId: string) => void;
}

/** Holds one lease of the store for this process and obtains a new one when it has ended. */
export class LeaseKeeper {
  private leaseId: string | undefined;

  private isStopped = false;

  private hasReleased = false;

  /** The next renewal or attempt to obtain a lease. */
  private pending: Subscription | undefined;

  constructor(private readonly options: LeaseKeeperOptions) {}

  get current(): string | undefined {
    return this.leaseId;
  }

  start(): void {
    void this.grant();
  }

  /** Stops renewing; the keys under the lease remain until it expires. */
  close(): void {
    this.isStopped = true;
    this.pending?.cancel();
  }

  /** The lease under which this VM owns things; undefined once it has released all for a planned stop. */
  get owning(): string | undefined {
    return this.hasReleased ? undefined : this.leaseId;
  }

  /** Revokes the lease, which removes all keys under it, and obtains a new one that owns nothing. */
  async release(): Promise<void> {
    this.hasReleased = true;
    this.pending?.cancel();
    const { leaseId } = this;
    this.leaseId = undefined;
    if (leaseId !== undefined) {
      const revoked = await this.options.store.revokeLease(leaseId);
      if (revoked.isErr()) this.options.log.write('lease-not-revoked', { leaseId });
    }
    if (!this.isStopped) await this.grant();
  }

  /** Obtains a new lease after the store reported that this one has ended. */
  replace(endedLeaseId: string): void {
    if (this.leaseId !== endedLeaseId || this.isStopped) return;
    this.options.log.write('lease-ended', { leaseId: endedLeaseId });
    this.leaseId = undefined;
    this.pending?.cancel();
    void this.grant();
  }

  private async grant(): Promise<void> {
    const startedAt = this.options.timer.now();
    const granted = await this.options.store.grantLease(LEASE_TTL_MS);
    if (this.isStopped) return;
    if (granted.isErr()) {
      this.pending = this.options.timer.after(RETRY_DELAY_MS, () => {
        void this.grant();
      });
      return;
    }
    const { leaseId, ttlMs } = granted.value;
    this.leaseId = leaseId;
    this.options.log.write('lease-granted', { leaseId, ttlMs });
    this.scheduleRenewal(startedAt + RENEWAL_INTERVAL_MS);
    this.options.onLease(leaseId);
  }

  private scheduleRenewal(dueAt: number): void {
    const { timer } = this.options;
    this.pending?.cancel();
    this.pending = timer.after(Math.max(0, dueAt - timer.now()), () => {
      void this.renew();
    });
  }

  private async renew(): Promise<void> {
    const { leaseId } = this;
    if (leaseId === undefined || this.isStopped) return;
    const { timer, store } = this.options;
    const startedAt = timer.now();
    const renewed = await store.renewLease(leaseId);
    if (this.isStopped || this.leaseId !== leaseId) return;
    if (renewed.isOk()) this.scheduleRenewal(startedAt + RENEWAL_INTERVAL_MS);
    else if (renewed.error.code === FaultCode.NotFound) this.replace(leaseId);
    else this.scheduleRenewal(timer.now() + RETRY_DELAY_MS);
  }
}
