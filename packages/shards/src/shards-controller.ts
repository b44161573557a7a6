import type {
  EntryVmIo,
  EntryVmSettings,
  Membership,
  ShardOwner,
  ShardTable,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import type { ShardOwnership } from '@jujubelanding/types';
import { AcquisitionPacer } from './acquisition-pacer.js';
import { Backoff } from './backoff.js';
import type { Lease } from './lease.js';
import { LeaseKeeper } from './lease-keeper.js';
import { indexOwners } from './owner-index.js';
import { type OwnerEntry, type Ownership, OwnershipStore } from './ownership-store.js';
import { type Plan, Planner, type PlanInput } from './plan.js';

const TICK_MS = 250;
/** Gives membership time to discover the other VMs; a VM that sees none would acquire all shards. */
export const START_DELAY_MS = 2000;
/** Interval at which ownership keys are compared with the shards that this VM holds. */
const AUDIT_INTERVAL_MS = 30_000;
/** Maximum number of acquisitions in progress. */
const MAX_PARALLEL_ACQUISITIONS = 8;
/** A lease without shards is revoked after this time. */
const IDLE_LEASE_TIMEOUT_MS = 10_000;

export interface ShardsOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store' | 'createLog' | 'metrics'>;
  settings: Pick<EntryVmSettings, 'entryVmId'>;
  membership: Membership;
}

/** A shard that this VM owns. */
interface HeldShard extends Ownership {
  /** Time at which this VM acquired the shard or adopted its ownership key. */
  since: number;
}

/** Acquires, holds and hands over shards. */
export class ShardsController implements ShardTable {
  private readonly log: Log;

  private readonly ownership: OwnershipStore;

  private readonly keeper: LeaseKeeper;

  private readonly planner = new Planner();

  private readonly backoff: Backoff;

  private readonly acquisitionPacer: AcquisitionPacer;

  private readonly handlers = new Set<() => void>();

  private readonly subscriptions: Subscription[] = [];

  private readonly held = new Map<number, HeldShard>();

  /** Ownership keys to be removed. */
  private readonly releasing = new Map<number, Ownership>();

  private owners: Map<number, ShardOwner> | undefined;

  private isPassRunning = false;

  private isStopped = false;

  private startedAt = 0;

  private nextAuditAt = 0;

  private lastUsedAt = 0;

  constructor(private readonly options: ShardsOptions) {
    const { io } = options;
    this.log = io.createLog('shards');
    this.ownership = new OwnershipStore(io.store, () => io.random.createId());
    this.keeper = new LeaseKeeper(io, this.log);
    this.backoff = new Backoff(io.random);
    this.acquisitionPacer = new AcquisitionPacer(io.random);
  }

  start(): void {
    this.startedAt = this.now();
    this.subscriptions.push(
      this.options.io.timer.every(TICK_MS, () => this.tick()),
      this.options.membership.onChange(() => {
        this.owners = undefined;
      }),
    );
  }

  /** Releases all shards. */
  async stop(): Promise<void> {
    if (this.isStopped) return;
    this.isStopped = true;
    this.subscriptions.forEach((subscription) => subscription.cancel());
    this.drop([...this.held.keys()], 'stop');
    await this.keeper.revoke();
  }

  ownerOf(shard: number): ShardOwner | undefined {
    const { membership } = this.options;
    const self = membership.self();
    this.owners ??= indexOwners(
      membership.members().filter(({ entryVmId }) => entryVmId !== self.entryVmId),
    );
    const other = this.owners.get(shard);
    const fence = this.fenceOf(shard);
    if (fence === undefined || (other !== undefined && other.fence > fence)) return other;
    return { entryVmId: self.entryVmId, peerAddress: self.peerAddress, fence };
  }

  fenceOf(shard: number): number | undefined {
    return this.keeper.isValid() ? this.held.get(shard)?.fence : undefined;
  }

  owned(): ShardOwnership[] {
    if (!this.keeper.isValid()) return [];
    return [...this.held.values()]
      .map(({ shard, fence }) => ({ shard, fence }))
      .toSorted((a, b) => a.shard - b.shard);
  }

  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  ownedSince(shard: number): number | undefined {
    return this.keeper.isValid() ? this.held.get(shard)?.since : undefined;
  }

  private now(): number {
    return this.options.io.timer.now();
  }

  private tick(): void {
    this.dropIfLeaseEnded();
    void this.keeper.renewIfDue().then(() => this.dropIfLeaseEnded());
    void this.runPass();
  }

  /** Drops all shards once the lease has ended on the local clock or at the service. */
  private dropIfLeaseEnded(): void {
    if (this.keeper.isValid() || this.held.size === 0) return;
    this.drop([...this.held.keys()], 'lease-end');
    // The lease may still exist at the service; the audit then finds and adopts its keys.
    this.nextAuditAt = this.now();
    this.releasing.clear();
  }

  /** Plans and executes one pass; passes do not overlap, and after a fault the next one is delayed. */
  private async runPass(): Promise<void> {
    const now = this.now();
    if (this.isPassRunning || this.isStopped || now - this.startedAt < START_DELAY_MS) return;
    const input = this.createPlanInput();
    const plan = this.planner.plan(input, now);
    // During an outage the key of a released shard could not be removed before the lease ends.
    if (this.backoff.isHealthy()) this.beginRelease(plan.release);
    if (!this.backoff.isDue(now) || !this.hasWork(plan, now)) return;
    this.isPassRunning = true;
    const isSuccessful = await this.executePlan(plan, input);
    this.isPassRunning = false;
    if (isSuccessful) {
      this.backoff.recordSuccess();
      return;
    }
    this.backoff.recordFailure(this.now());
    this.planner.restartDelays(this.now());
    this.nextAuditAt = this.now();
  }

  private hasWork(plan: Plan, now: number): boolean {
    if (this.releasing.size > 0) return true;
    if (this.acquisitionPacer.isDue(plan.acquire, now)) return true;
    return this.keeper.current() !== undefined && now >= this.nextAuditAt;
  }

  /** Executes a plan; resolves with false after a fault, so that the next pass backs off. */
  private async executePlan(plan: Plan, input: PlanInput): Promise<boolean> {
    this.acquisitionPacer.recordAttempt(plan.acquire, this.now());
    if (!(await this.removeReleased())) return false;
    if (plan.acquire.length === 0 && (await this.isIdle())) return true;
    const lease = await this.keeper.obtain();
    if (lease === undefined) return false;
    const owners = await this.ownership.listOwners();
    if (owners.isErr()) return false;
    this.nextAuditAt = this.now() + AUDIT_INTERVAL_MS;
    if (!(await this.reconcile(lease, owners.value, input))) return false;
    const free = plan.acquire.filter((shard) => !owners.value.has(shard));
    return this.acquireAll(free, lease, input);
  }

  private async removeReleased(): Promise<boolean> {
    for (const ownership of this.releasing.values()) {
      const released = await this.ownership.release(ownership);
      if (released.isErr()) return false;
      this.releasing.delete(ownership.shard);
    }
    return true;
  }

  /** True if there is no lease; revokes a lease that has been unused for some time. */
  private async isIdle(): Promise<boolean> {
    if (this.keeper.current() === undefined) return true;
    if (this.held.size > 0) this.lastUsedAt = this.now();
    if (this.now() - this.lastUsedAt < IDLE_LEASE_TIMEOUT_MS) return false;
    await this.keeper.revoke();
    return true;
  }

  /** Compares the ownership keys under this VM's lease with the shards that it holds. */
  private async reconcile(
    lease: Lease,
    owners: Map<number, OwnerEntry>,
    input: PlanInput,
  ): Promise<boolean> {
    const leasedEntries = [...owners.values()].filter(({ leaseId }) => leaseId === lease.id);
    const lost = [...this.held.keys()].filter((shard) => owners.get(shard)?.leaseId !== lease.id);
    this.drop(lost, 'key-missing');
    for (const entry of leasedEntries.filter(({ shard }) => !this.held.has(shard))) {
      const confirmed = await this.ownership.confirm(entry);
      if (confirmed.isErr()) return false;
      if (confirmed.value !== undefined) this.addShard(confirmed.value, lease, input);
    }
    return true;
  }

  private async acquireAll(shards: number[], lease: Lease, input: PlanInput): Promise<boolean> {
    const { entryVmId, bootId } = this.options.membership.self();
    let isSuccessful = true;
    const acquire = async (shard: number): Promise<void> => {
      const acquired = await this.ownership.acquire(shard, {
        entryVmId,
        bootId,
        leaseId: lease.id,
      });
      if (acquired.isErr()) isSuccessful = false;
      else if (acquired.value !== undefined) this.addShard(acquired.value, lease, input);
    };
    for (let first = 0; first < shards.length && isSuccessful; first += MAX_PARALLEL_ACQUISITIONS) {
      await Promise.all(shards.slice(first, first + MAX_PARALLEL_ACQUISITIONS).map(acquire));
    }
    return isSuccessful;
  }

  private addShard(ownership: Ownership, lease: Lease, input: PlanInput): void {
    // The lease may have ended while the calls were in progress; the next audit then finds the key.
    if (this.isStopped || this.keeper.current() !== lease || !this.keeper.isValid()) return;
    const { shard, fence, revision } = ownership;
    this.lastUsedAt = this.now();
    this.held.set(shard, { shard, fence, revision, since: this.now() });
    this.planner.recordAcquisition(shard, input, this.now());
    this.log.write('shard-gained', { shard, fence });
    this.publish();
  }

  private beginRelease(shards: readonly number[]): void {
    shards.forEach((shard) => this.releasing.set(shard, this.held.get(shard)!));
    this.drop(shards, 'handover');
  }

  private drop(shards: readonly number[], reason: string): void {
    if (shards.length === 0) return;
    shards.forEach((shard) => this.held.delete(shard));
    this.log.write('shards-lost', { shards, reason });
    this.options.io.metrics.increment('shards.lost', { reason }, shards.length);
    this.publish();
  }

  private publish(): void {
    this.options.membership.updateSelf({ shards: this.owned() });
    this.options.io.metrics.gauge('shards.owned', this.held.size);
    this.handlers.forEach((handler) => handler());
  }

  private createPlanInput(): PlanInput {
    const { membership } = this.options;
    const self = membership.self();
    const members = membership.members();
    const others = members.filter(({ entryVmId }) => entryVmId !== self.entryVmId);
    const claimed = new Set(others.flatMap(({ shards }) => shards.map(({ shard }) => shard)));
    return { self, members, owned: [...this.held.keys()], claimed };
  }
}
