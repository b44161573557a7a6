import type { Log } from '@jujubelanding/log';
import { ChangeKind, CommitStatus, type TransactionalStore } from '@jujubelanding/platform';
import type { FollowedChange } from '@jujubelanding/store-follower';
import type { Subscription, Timer } from '@jujubelanding/timer';
import type { LeaseKeeper } from './lease-keeper.js';
import { decodeRegistration, encodeRegistration, type Registration } from './registration.js';

/** Delay before a failed registration is retried. */
const RETRY_DELAY_MS = 300;

/**
 * Interval at which this VM checks that its registration is stored. A watch reports a change within half
 * of it.
 */
const CHECK_INTERVAL_MS = 2000;

/** Time after which a VM that is neither registered nor alive is forgotten. */
const FORGET_AFTER_MS = 60_000;

/** Liveness of the other VMs; a VM that sent a message recently stays listed without a registration. */
export interface Liveness {
  /** Ids of the other VMs that sent a message recently and are not leaving. */
  listServing(): string[];
  /** True if this run of the VM has announced that it is leaving. */
  hasLeft(entryVmId: string, bootId: string): boolean;
}

export interface EntryVmRegistryOptions {
  store: Pick<TransactionalStore, 'commit'>;
  timer: Timer;
  log: Log;
  lease: () => LeaseKeeper;
  liveness: () => Liveness;
  /** Key prefix of registrations. */
  prefix: string;
  self: Registration;
}

/** Registers this entry VM and tracks the registrations of the others. */
export class EntryVmRegistry {
  private readonly registered = new Map<string, Registration>();

  /** Last registration of each VM, also after its key was removed, because the VM may still be alive. */
  private readonly lastKnown = new Map<string, Registration>();

  /** Time since which each known VM has been neither registered nor alive. */
  private readonly goneSince = new Map<string, number>();

  private isLeaving = false;

  private isStopped = false;

  private isWriting = false;

  /** Lease under which the registration was written last. */
  private registeredLeaseId: string | undefined;

  private subscription: Subscription | undefined;

  constructor(private readonly options: EntryVmRegistryOptions) {}

  /** The registration of this VM. */
  get self(): Registration {
    const { self } = this.options;
    return this.isLeaving ? { ...self, isLeaving: true } : self;
  }

  get key(): string {
    return `${this.options.prefix}${this.options.self.entryVmId}`;
  }

  /** Starts checking that this VM is registered. */
  start(): void {
    this.subscription = this.options.timer.every(CHECK_INTERVAL_MS, () => {
      if (!this.registered.has(this.key)) void this.register();
      this.forgetGone();
    });
  }

  /** Writes this VM's registration under the current lease. */
  async register(): Promise<void> {
    const leaseId = this.options.lease().current;
    if (leaseId === undefined || this.isStopped || this.isWriting) return;
    this.isWriting = true;
    this.registeredLeaseId = leaseId;
    const { key } = this;
    const value = encodeRegistration(this.self);
    const committed = await this.options.store.commit({
      conditions: [],
      writes: [{ key, value, leaseId }],
      removals: [],
    });
    this.isWriting = false;
    if (committed.isOk() && committed.value.status === CommitStatus.LeaseEnded) {
      this.options.lease().replace(leaseId);
    } else if (committed.isErr()) {
      this.options.timer.after(RETRY_DELAY_MS, () => {
        void this.register();
      });
      return;
    }
    // The lease may have been replaced while the registration under it was being written.
    if (this.options.lease().current !== this.registeredLeaseId) await this.register();
  }

  /** Applies a change of a key under the prefix. */
  apply({ kind, entry }: FollowedChange): void {
    if (kind === ChangeKind.Delete) this.remove(entry.key);
    else this.add(entry.key, entry.value);
  }

  /** Removes this VM from the list for callers; later registrations say that it is leaving. */
  leave(): void {
    this.isLeaving = true;
  }

  stop(): void {
    this.isStopped = true;
    this.subscription?.cancel();
  }

  /** Returns all known entry VMs except this one. */
  peers(): Registration[] {
    const { self } = this.options;
    return [...this.lastKnown.values()].filter(({ entryVmId }) => entryVmId !== self.entryVmId);
  }

  /** Returns the last registration of another entry VM. */
  find(entryVmId: string): Registration | undefined {
    return this.lastKnown.get(`${this.options.prefix}${entryVmId}`);
  }

  /** Returns the peer addresses of the other VMs that sent a message recently. */
  listPeerAddresses(): string[] {
    const aliveIds = new Set(this.options.liveness().listServing());
    return this.peers()
      .filter(({ entryVmId }) => aliveIds.has(entryVmId))
      .map(({ peerAddress }) => peerAddress);
  }

  /** Returns the VMs that accept callers; this one comes first while it is serving. */
  listServing(): Registration[] {
    const { self, liveness } = this.options;
    const aliveIds = new Set(liveness().listServing());
    const peers = this.peers().filter(
      ({ entryVmId, bootId, isLeaving }) =>
        isLeaving !== true && !liveness().hasLeft(entryVmId, bootId),
    );
    const alive = peers.filter(({ entryVmId }) => aliveIds.has(entryVmId));
    // A VM that hears from no other VM is probably isolated itself, while the others are alive.
    const others =
      aliveIds.size > 0 ? alive : peers.filter(({ entryVmId }) => this.isRegistered(entryVmId));
    return this.isLeaving ? others : [self, ...others];
  }

  /** Forgets VMs that were replaced, so that the fleet does not seem to grow with each of them. */
  private forgetGone(): void {
    const now = this.options.timer.now();
    const aliveIds = new Set(this.options.liveness().listServing());
    for (const [key, { entryVmId }] of this.lastKnown) {
      if (this.registered.has(key) || aliveIds.has(entryVmId)) this.goneSince.delete(key);
      else if (!this.goneSince.has(key)) this.goneSince.set(key, now);
      else if (now - this.goneSince.get(key)! >= FORGET_AFTER_MS) {
        this.lastKnown.delete(key);
        this.goneSince.delete(key);
      }
    }
  }

  private isRegistered(entryVmId: string): boolean {
    return this.registered.has(`${this.options.prefix}${entryVmId}`);
  }

  private add(key: string, value: string): void {
    const registration = decodeRegistration(value);
    if (registration === undefined) {
      this.options.log.write('registration-skipped', { key, reason: 'unreadable' });
      return;
    }
    this.registered.set(key, registration);
    this.lastKnown.set(key, registration);
  }

  private remove(key: string): void {
    this.registered.delete(key);
    // A key may also disappear while its VM is alive, which then registers again.
    if (key === this.key) void this.register();
  }
}
