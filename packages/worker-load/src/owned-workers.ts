/** Shard owner's side: polls workers and counts online requests over all entry VMs. */
import type {
  Configuration,
  Directory,
  EntryVmIo,
  Membership,
  OwnedWorkerLoads,
  ShardTable,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { DatagramKind, type OnlineNotice, type WorkerTotal } from '@jujubelanding/peer-protocol';
import { findShard } from '@jujubelanding/random';
import type { Subscription } from '@jujubelanding/timer';
import { MemberState, RecordKind, type CacheEvent, type LoadReport } from '@jujubelanding/types';
import { createWarningBudget } from './notice-budget.js';
import { NoticeLedger, SENDER_SILENCE_MS } from './notice-ledger.js';
import { ToldTotals, type SharedTotal } from './told-totals.js';

/** Interval of load polls, of full notices and of pushed totals. */
export const NOTICE_INTERVAL_MS = 500;

/** Time after gaining a shard when counts are taken as complete: one interval and the transit. */
const COMPLETE_AFTER_MS = NOTICE_INTERVAL_MS + 100;

/** Keeps a datagram below 1,200 bytes. */
const MAX_TOTALS_PER_DATAGRAM = 16;

/**
 * Workers that an entry VM does not use, but whose totals it gets. With up to 8 entry VMs that own
 * some 2 of 17 workers each these are all; without a bound the traffic would grow with the fleet.
 */
const MAX_OFFERED_WORKERS = 4;

/**
 * An entry VM is warned of workers that fill up for this long after its last notice. Bursts often
 * follow some seconds without any request, in which no totals are pushed.
 */
const INTEREST_MEMORY_MS = 60_000;

/** Receives the cache events of a poll; `askedAfter` is the sequence number that was sent. */
export type CacheEventHandler = (
  workerId: string,
  events: readonly CacheEvent[],
  askedAfter: number,
) => void;

export interface OwnedWorkersOptions {
  io: Pick<EntryVmIo, 'timer' | 'network' | 'backendServers' | 'createLog' | 'metrics'>;
  entryVmId: string;
  membership: Membership;
  shards: ShardTable;
  directory: Directory;
  configuration: Configuration;
  onCacheEvents?: CacheEventHandler;
}

interface Polled {
  report: LoadReport;
  lastSequence: number;
}

/** An entry VM that sent notices recently. */
interface Interest {
  bootId: string;
  heardAt: number;
  /** Workers in its recent notices, with the time of the last one. */
  used: Map<string, number>;
  told: ToldTotals;
}

/** Counts online requests of owned workers and answers notices with totals. */
export class OwnedWorkersController implements OwnedWorkerLoads {
  private readonly ledger = new NoticeLedger();

  private readonly polled = new Map<string, Polled>();

  private readonly polling = new Set<string>();

  private readonly batch = new Map<string, number>();

  /** Entry VMs that sent notices recently; only these get totals. */
  private readonly interests = new Map<string, Interest>();

  private readonly warnings = createWarningBudget();

  private readonly handlers = new Set<(workerId: string) => void>();

  private readonly subscriptions: Subscription[] = [];

  private readonly log: Log;

  constructor(private readonly options: OwnedWorkersOptions) {
    this.log = options.io.createLog('worker-load');
  }

  start(): void {
    const { network, timer } = this.options.io;
    network.handleDatagram(DatagramKind.OnlineNotice, (notice) => this.answer(notice));
    this.subscriptions.push(
      timer.every(NOTICE_INTERVAL_MS, () => this.runInterval()),
      this.options.shards.onChange(() => this.pollAll()),
    );
    this.pollAll();
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  workerIds(): string[] {
    return this.options.directory
      .all()
      .map((worker) => worker.id)
      .filter((id) => this.isOwned(id));
  }

  isOwned(workerId: string): boolean {
    return this.options.shards.fenceOf(findShard(workerId)) !== undefined;
  }

  online(workerId: string): number {
    return this.ledger.online(workerId);
  }

  slots(workerId: string): number {
    const report = this.polled.get(workerId)?.report;
    if (report !== undefined) return report.slots;
    const service = this.options.directory.find(workerId)?.service ?? '';
    return this.options.configuration.get(RecordKind.Service, service)?.spec.slotsPerWorker ?? 1;
  }

  report(workerId: string): LoadReport | undefined {
    return this.polled.get(workerId)?.report;
  }

  isComplete(workerId: string): boolean {
    const since = this.options.shards.ownedSince(findShard(workerId));
    if (since === undefined) return false;
    if (this.options.io.timer.now() - since >= COMPLETE_AFTER_MS) return true;
    return this.options.membership
      .members()
      .filter((member) => member.state === MemberState.Alive)
      .every((member) => (this.ledger.heardAt(member.entryVmId) ?? -1) >= since);
  }

  setBatchCount(workerId: string, count: number): void {
    if (count === 0) this.batch.delete(workerId);
    else this.batch.set(workerId, count);
  }

  onOnlineChange(handler: (workerId: string) => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  total(workerId: string): WorkerTotal {
    return {
      workerId,
      online: this.online(workerId),
      batch: this.batch.get(workerId) ?? 0,
      slots: this.slots(workerId),
    };
  }

  /** Counts a notice; called directly by the own VM and through datagrams by others. */
  accept(notice: OnlineNotice): void {
    const changed = this.ledger.apply(notice, this.options.io.timer.now());
    this.announce(changed);
    this.warnOthers(notice.from, changed);
  }

  /** Tells other entry VMs at once where online requests have taken much of the room. */
  private warnOthers(senderId: string, changed: readonly string[]): void {
    const owned = changed.filter((id) => this.isOwned(id));
    if (owned.length === 0) return;
    const now = this.options.io.timer.now();
    for (const [entryVmId, interest] of this.interests) {
      if (entryVmId === senderId) continue;
      const urgent = interest.told.selectUrgent(this.shareTotals(entryVmId, owned), now);
      if (urgent.length > 0 && this.warnings.trySpend(now)) this.send(entryVmId, urgent);
    }
  }

  private shareTotals(entryVmId: string, workerIds: readonly string[]): SharedTotal[] {
    return workerIds.map((id) => ({
      total: this.total(id),
      own: this.ledger.onlineOf(entryVmId, id),
    }));
  }

  private answer(notice: OnlineNotice): void {
    const now = this.options.io.timer.now();
    this.accept(notice);
    const interest = this.findInterest(notice, now);
    const workerIds = Object.keys(notice.inFlight);
    workerIds.forEach((id) => interest.used.set(id, now));
    const owned = workerIds.filter((id) => this.isOwned(id));
    this.sendTotals(notice.from, interest, owned);
  }

  private findInterest({ from, bootId }: OnlineNotice, now: number): Interest {
    const known = this.interests.get(from);
    if (known?.bootId === bootId) {
      known.heardAt = now;
      return known;
    }
    const interest: Interest = { bootId, heardAt: now, used: new Map(), told: new ToldTotals() };
    this.interests.set(from, interest);
    return interest;
  }

  /** Sends totals that the entry VM does not know well enough. */
  private sendTotals(entryVmId: string, interest: Interest, workerIds: readonly string[]): void {
    const shared = this.shareTotals(entryVmId, workerIds);
    this.send(entryVmId, interest.told.selectDue(shared, this.options.io.timer.now()));
  }

  private send(entryVmId: string, totals: readonly WorkerTotal[]): void {
    const member = this.options.membership.find(entryVmId);
    if (member === undefined) return;
    for (let start = 0; start < totals.length; start += MAX_TOTALS_PER_DATAGRAM) {
      this.options.io.network.send(member.peerAddress, {
        kind: DatagramKind.WorkerTotals,
        from: this.options.entryVmId,
        totals: totals.slice(start, start + MAX_TOTALS_PER_DATAGRAM),
        includedSequence: this.ledger.highestSequence(entryVmId),
      });
    }
  }

  private runInterval(): void {
    const now = this.options.io.timer.now();
    this.announce(this.ledger.expire(now, (id) => this.isGone(id)));
    const owned = this.workerIds();
    for (const [entryVmId, interest] of this.interests) {
      if (now - interest.heardAt < SENDER_SILENCE_MS) {
        this.sendTotals(entryVmId, interest, this.selectTotals(entryVmId, interest, owned));
      } else if (now - interest.heardAt >= INTEREST_MEMORY_MS) this.interests.delete(entryVmId);
    }
    this.pollAll();
  }

  /** Owned workers that an entry VM uses, and some others that it could use instead. */
  private selectTotals(entryVmId: string, interest: Interest, owned: string[]): string[] {
    const now = this.options.io.timer.now();
    const { directory, membership } = this.options;
    const services = new Set<string>();
    for (const [id, mentionedAt] of interest.used) {
      if (now - mentionedAt >= SENDER_SILENCE_MS) interest.used.delete(id);
      services.add(directory.find(id)?.service ?? '');
    }
    const zone = membership.find(entryVmId)?.availabilityZone;
    const others = owned
      .map((id) => directory.find(id))
      .filter((worker) => worker !== undefined)
      .filter(({ id, service }) => services.has(service) && !interest.used.has(id));
    const near = others.filter(({ availabilityZone }) => availabilityZone === zone);
    const far = others.filter(({ availabilityZone }) => availabilityZone !== zone);
    const offered = [...near, ...far].slice(0, MAX_OFFERED_WORKERS).map(({ id }) => id);
    return [...owned.filter((id) => interest.used.has(id)), ...offered];
  }

  private isGone(entryVmId: string): boolean {
    const state = this.options.membership.find(entryVmId)?.state;
    return state === MemberState.Dead;
  }

  private announce(workerIds: readonly string[]): void {
    for (const id of workerIds) this.handlers.forEach((handler) => handler(id));
  }

  private pollAll(): void {
    const owned = new Set(this.workerIds());
    for (const id of this.polled.keys()) {
      if (!owned.has(id)) this.polled.delete(id);
    }
    for (const id of owned) {
      if (!this.polling.has(id)) void this.poll(id);
    }
  }

  private async poll(workerId: string): Promise<void> {
    const worker = this.options.directory.find(workerId);
    if (worker === undefined) return;
    this.polling.add(workerId);
    const askedAfter = this.polled.get(workerId)?.lastSequence ?? 0;
    const answer = await this.options.io.backendServers.readLoad(worker, askedAfter);
    this.polling.delete(workerId);
    if (answer.isErr()) {
      // The worker may have restarted with a new sequence, so its events are asked from the start.
      if (!this.polled.delete(workerId)) return;
      this.log.write('poll-failed', { worker: workerId, reason: answer.error.message });
      this.options.io.metrics.increment('worker_load.poll_failed');
      return;
    }
    const report = answer.value;
    const lastSequence = report.cacheEvents.at(-1)?.sequence ?? askedAfter;
    this.polled.set(workerId, { report, lastSequence });
    this.options.onCacheEvents?.(workerId, report.cacheEvents, askedAfter);
  }
}
