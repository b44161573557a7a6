/** Reports this VM's online requests to shard owners and keeps the totals that they return. */
import type {
  Configuration,
  Directory,
  EntryVmIo,
  Membership,
  ShardOwner,
  ShardTable,
  WorkerLoad,
  WorkerLoads,
} from '@jujubelanding/interfaces';
import { DatagramKind, type OnlineNotice, type WorkerTotals } from '@jujubelanding/peer-protocol';
import { computeShard } from '@jujubelanding/random';
import type { Subscription } from '@jujubelanding/timer';
import { RecordKind } from '@jujubelanding/types';
import { SENDER_TIMEOUT_MS } from './notice-ledger.js';
import { NoticeRateLimiter } from './notice-rate-limiter.js';
import { NOTICE_INTERVAL_MS, type OwnedWorkersController } from './owned-workers.js';
import { LocalRequests } from './local-requests.js';

/** Workers are included in full notices for this long after their last request. */
const USE_RETENTION_MS = SENDER_TIMEOUT_MS;

/** Totals of unused workers are kept this long for their number of slots. */
const TOTAL_RETENTION_MS = 60_000;

/** Age of a load that is based only on this VM's counts. */
export const UNKNOWN_AGE_MS = Number.MAX_SAFE_INTEGER;

/** Full notices per interval, or a third of the owners in use if that is more; owners alternate. */
const FULL_NOTICES_PER_INTERVAL = 8;

/** Every owner is reached within this many intervals, so twice before it expires the counts. */
const MAX_INTERVALS_PER_ROUND = 3;

/**
 * A begin is reported again after this delay, since a lost notice would leave batch work running
 * until the next full notice. It is far below the limit of 100 ms within which batch work yields,
 * and above the round trip between availability zones.
 */
export const REPEAT_DELAY_MS = 5;

/** Workers in use that belong to one owner. */
interface OwnerGroup {
  owner: ShardOwner;
  shards: number[];
  workerIds: string[];
}

export interface WorkerLoadsOptions {
  io: Pick<EntryVmIo, 'timer' | 'network'>;
  entryVmId: string;
  membership: Membership;
  shards: ShardTable;
  directory: Directory;
  configuration: Configuration;
  /** Counts of the workers that this VM owns, accessed without the network. */
  ownedWorkers: Pick<OwnedWorkersController, 'accept' | 'isOwned' | 'total'>;
}

/** Implements `WorkerLoads` with notices to the shard owners of the workers in use. */
export class WorkerLoadsController implements WorkerLoads {
  private readonly requests = new LocalRequests();

  private readonly subscriptions: Subscription[] = [];

  /** Owner that got the last full notice, by shard; used to detect a change of owner. */
  private readonly notifiedOwners = new Map<number, string>();

  private readonly noticeLimiter = new NoticeRateLimiter();

  /** Workers with a change that has not been reported yet. */
  private readonly unreported = new Set<string>();

  /** Workers whose begins are to be reported again, by shard owner. */
  private readonly pendingRepeats = new Map<string, Set<string>>();

  /** Time of the last full notice by owner. */
  private readonly lastFullNoticeAt = new Map<string, number>();

  private sequence = 0;

  constructor(private readonly options: WorkerLoadsOptions) {}

  start(): void {
    const { network, timer } = this.options.io;
    network.handleDatagram(DatagramKind.WorkerTotals, (totals) => this.receive(totals));
    this.subscriptions.push(
      timer.every(NOTICE_INTERVAL_MS, () => this.sendFullNotices()),
      this.options.membership.onChange(() => this.notifyNewOwners()),
      this.options.shards.onChange(() => this.notifyNewOwners()),
    );
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  get(workerId: string): WorkerLoad {
    if (this.options.ownedWorkers.isOwned(workerId)) {
      return { ...this.options.ownedWorkers.total(workerId), ageMs: 0 };
    }
    const estimate = this.requests.estimate(workerId, this.options.io.timer.now());
    if (estimate !== undefined) return { workerId, ...estimate };
    return {
      workerId,
      slots: this.requests.lastSlots(workerId) ?? this.configuredSlots(workerId),
      online: this.localInFlight(workerId),
      batch: 0,
      ageMs: UNKNOWN_AGE_MS,
    };
  }

  /** Returns the online requests in the last total, uncorrected; used by a baseline only. */
  reportedOnline(workerId: string): number {
    return this.requests.lastTotal(workerId)?.online ?? 0;
  }

  beginRequest(workerId: string): void {
    this.change(workerId, 1);
  }

  endRequest(workerId: string): void {
    this.change(workerId, -1);
  }

  localInFlight(workerId: string): number {
    return this.requests.countInFlight(workerId);
  }

  private change(workerId: string, difference: 1 | -1): void {
    const now = this.options.io.timer.now();
    this.sequence += 1;
    this.requests.change(workerId, difference, this.sequence, now);
    this.unreported.add(workerId);
    const owner = this.options.shards.ownerOf(computeShard(workerId));
    const isOwner = owner?.entryVmId === this.options.entryVmId;
    if (difference === 1 && !isOwner) this.noticeLimiter.consume(now);
    // An end can be delayed: until it is reported, only less batch work runs than possible.
    if (difference === -1 && !isOwner && !this.noticeLimiter.tryConsume(now)) return;
    const workerIds = [...this.unreported].filter(
      (id) => this.options.shards.ownerOf(computeShard(id))?.entryVmId === owner?.entryVmId,
    );
    this.deliver(owner, this.createNotice(this.takeCounts(workerIds), false));
    if (difference === 1 && !isOwner && owner !== undefined) this.scheduleRepeat(owner, workerId);
  }

  /** Schedules a repeated report of a worker's count; begins within the delay share one notice. */
  private scheduleRepeat(owner: ShardOwner, workerId: string): void {
    const scheduled = this.pendingRepeats.get(owner.entryVmId);
    if (scheduled !== undefined) {
      scheduled.add(workerId);
      return;
    }
    const workerIds = new Set([workerId]);
    this.pendingRepeats.set(owner.entryVmId, workerIds);
    const { timer } = this.options.io;
    timer.after(REPEAT_DELAY_MS, () => {
      this.pendingRepeats.delete(owner.entryVmId);
      if (!this.noticeLimiter.tryConsume(timer.now())) return;
      this.sequence += 1;
      this.deliver(owner, this.createNotice(this.takeCounts([...workerIds]), false));
    });
  }

  private configuredSlots(workerId: string): number {
    const service = this.options.directory.find(workerId)?.service ?? '';
    return this.options.configuration.get(RecordKind.Service, service)?.spec.slotsPerWorker ?? 1;
  }

  private receive(totals: WorkerTotals): void {
    const now = this.options.io.timer.now();
    for (const total of totals.totals) {
      const owner = this.options.shards.ownerOf(computeShard(total.workerId));
      // A former owner no longer receives the notices of all requests.
      if (owner?.entryVmId !== totals.from) continue;
      this.requests.receive(total, totals.includedSequence, now);
    }
  }

  /** Sends full notices to the owners whose last one is oldest. */
  private sendFullNotices(): void {
    const now = this.options.io.timer.now();
    const groups = [...this.groupUsedByOwner(now).values()];
    const age = ({ owner }: OwnerGroup): number =>
      now - (this.lastFullNoticeAt.get(owner.entryVmId) ?? 0);
    const count = Math.max(
      FULL_NOTICES_PER_INTERVAL,
      Math.ceil(groups.length / MAX_INTERVALS_PER_ROUND),
    );
    const chosen = groups.toSorted((a, b) => age(b) - age(a)).slice(0, count);
    chosen.forEach((group) => this.sendFullNotice(group, now));
    this.requests.prune(now, TOTAL_RETENTION_MS);
    for (const [owner, sentAt] of this.lastFullNoticeAt) {
      if (now - sentAt > USE_RETENTION_MS) this.lastFullNoticeAt.delete(owner);
    }
  }

  /** Sends a full notice immediately to owners that took over a shard in use. */
  private notifyNewOwners(): void {
    const now = this.options.io.timer.now();
    for (const group of this.groupUsedByOwner(now).values()) {
      const { entryVmId } = group.owner;
      const isNotified = group.shards.every(
        (shard) => this.notifiedOwners.get(shard) === entryVmId,
      );
      if (!isNotified) this.sendFullNotice(group, now);
    }
  }

  private sendFullNotice({ owner, shards, workerIds }: OwnerGroup, now: number): void {
    this.sequence += 1;
    this.deliver(owner, this.createNotice(this.takeCounts(workerIds), true));
    this.lastFullNoticeAt.set(owner.entryVmId, now);
    shards.forEach((shard) => this.notifiedOwners.set(shard, owner.entryVmId));
  }

  private groupUsedByOwner(now: number): Map<string, OwnerGroup> {
    const groups = new Map<string, OwnerGroup>();
    for (const workerId of this.requests.listUsedWorkers(now, USE_RETENTION_MS)) {
      const shard = computeShard(workerId);
      const owner = this.options.shards.ownerOf(shard);
      if (owner === undefined) continue;
      const group = groups.get(owner.entryVmId) ?? { owner, shards: [], workerIds: [] };
      group.shards.push(shard);
      group.workerIds.push(workerId);
      groups.set(owner.entryVmId, group);
    }
    return groups;
  }

  /** Returns the counts for a notice and marks the workers as reported. */
  private takeCounts(workerIds: readonly string[]): Record<string, number> {
    workerIds.forEach((id) => this.unreported.delete(id));
    const counts = workerIds.map((id) => [id, this.localInFlight(id)] as const);
    return Object.fromEntries(counts);
  }

  private createNotice(inFlight: Record<string, number>, full: boolean): OnlineNotice {
    return {
      kind: DatagramKind.OnlineNotice,
      from: this.options.entryVmId,
      bootId: this.options.membership.self().bootId,
      sequence: this.sequence,
      inFlight,
      full,
    };
  }

  private deliver(owner: ShardOwner | undefined, notice: OnlineNotice): void {
    if (owner === undefined) return;
    if (owner.entryVmId === this.options.entryVmId) this.options.ownedWorkers.accept(notice);
    else this.options.io.network.send(owner.peerAddress, notice);
  }
}
