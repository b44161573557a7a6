import type { Log } from '@jujubelanding/log';
import { ChangeKind, CommitStatus, type TransactionalStore } from '@jujubelanding/platform';
import type { FollowedChange } from '@jujubelanding/store-follower';
import type { Timer } from '@jujubelanding/timer';
import type { LeaseKeeper } from './lease-keeper.js';
import { decodeRegistration, encodeRegistration, type Registration } from './registration.js';

/** Pause before a registration is written again. */
const RETRY_MS = 300;

/** A VM whose registration is gone stays in the answers while it was heard lately. */
export interface Liveness {
  /** Ids of the other VMs that were heard lately and do not leave. */
  listServing(): string[];
  /** True where that run of the VM said that it leaves. */
  hasLeft(entryVmId: string, bootId: string): boolean;
}

export interface EntryVmRegistryOptions {
  store: Pick<TransactionalStore, 'commit'>;
  timer: Timer;
  log: Log;
  lease: () => LeaseKeeper;
  liveness: () => Liveness;
  /** Keys of registrations begin with this. */
  prefix: string;
  self: Registration;
}

/** Knows the entry VMs and makes this one known. */
export class EntryVmRegistry {
  private readonly registered = new Map<string, Registration>();

  /** Registrations that are gone from the store, in case their VM still lives. */
  private readonly lastKnown = new Map<string, Registration>();

  private isServing = true;

  private isWriting = false;

  constructor(private readonly options: EntryVmRegistryOptions) {}

  get key(): string {
    return `${this.options.prefix}${this.options.self.entryVmId}`;
  }

  /** Writes this VM's registration under the current lease. */
  async register(): Promise<void> {
    const leaseId = this.options.lease().current;
    if (leaseId === undefined || !this.isServing || this.isWriting) return;
    this.isWriting = true;
    const { key } = this;
    const value = encodeRegistration(this.options.self);
    const committed = await this.options.store.commit({
      conditions: [],
      writes: [{ key, value, leaseId }],
      removals: [],
    });
    this.isWriting = false;
    if (committed.isOk() && committed.value.status === CommitStatus.LeaseEnded) {
      this.options.lease().replace(leaseId);
    } else if (committed.isErr()) {
      this.options.timer.after(RETRY_MS, () => {
        void this.register();
      });
    }
  }

  /** Applies changes of keys under the prefix. */
  apply({ kind, entry }: FollowedChange): void {
    if (kind === ChangeKind.Delete) this.remove(entry.key);
    else this.add(entry.key, entry.value);
  }

  /** Takes this VM out of the answers. */
  leave(): void {
    this.isServing = false;
  }

  /** All known entry VMs but this one. */
  peers(): Registration[] {
    const { self } = this.options;
    return [...this.lastKnown.values()].filter(({ entryVmId }) => entryVmId !== self.entryVmId);
  }

  /** Peer addresses of the other VMs that were heard lately. */
  listPeerAddresses(): string[] {
    const aliveIds = new Set(this.options.liveness().listServing());
    return this.peers()
      .filter(({ entryVmId }) => aliveIds.has(entryVmId))
      .map(({ peerAddress }) => peerAddress);
  }

  /** VMs that take callers; this one first while it serves. */
  listServing(): Registration[] {
    const { self, liveness } = this.options;
    const aliveIds = new Set(liveness().listServing());
    const peers = this.peers().filter(
      ({ entryVmId, bootId }) => !liveness().hasLeft(entryVmId, bootId),
    );
    const alive = peers.filter(({ entryVmId }) => aliveIds.has(entryVmId));
    // A VM that hears nobody is probably cut off itself, and the others are not.
    const others =
      aliveIds.size > 0 ? alive : peers.filter(({ entryVmId }) => this.isRegistered(entryVmId));
    return this.isServing ? [self, ...others] : others;
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
    // Keys also vanish while their VM lives; a live one writes its registration again.
    if (key === this.key) void this.register();
  }
}
