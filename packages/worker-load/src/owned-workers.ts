/** Polls the workers of owned shards and counts the online requests of all entry VMs on them. */
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
import { computeShard } from '@jujubelanding/random';
import type { Subscription } from '@jujubelanding/timer';
import { MemberState, RecordKind, type CacheEvent, type LoadReport } from '@jujubelanding/types';
import { createUrgentTotalsRateLimiter } from './notice-rate-limiter.js';
import { NoticeLedger, SENDER_TIMEOUT_MS } from './notice-ledger.js';
import { SentTotals, type ReceiverTotal } from './sent-totals.js';

/** Interval of load polls, full notices and pushed totals. */
export const NOTICE_INTERVAL_MS = 500;

/** Time after gaining a shard until counts are considered complete: one interval plus transit. */
const COUNTS_COMPLETE_AFTER_MS = NOTICE_INTERVAL_MS + 100;

/** Keeps a datagram below 1,200 bytes. */
const MAX_TOTALS_PER_DATAGRAM = 16;

/**
 * Unused workers whose totals an entry VM receives. With up to 8 entry VMs that own about 2 of 17
 * workers each, this covers all; without a limit, traffic would grow with the fleet.
 */
const MAX_ALTERNATIVES = 4;

/**
 * An entry VM gets urgent totals of workers that fill up for this long after its last notice.
 * Bursts often follow a few seconds without requests, during which no totals are pushed.
 */
const SUBSCRIBER_TTL_MS = 60_000;

/** Receives the cache events of a poll; `afterSequence` is the sequence number in the request. */
export type CacheEventHandler = (
  workerId: string,
  events: readonly CacheEvent[],
  afterSequence: number,
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

interface CompletedPoll {
  report: LoadReport;
  lastSequence: number;
}

/** An entry VM that sent notices recently; only these receive totals. */
interface Subscriber {
  bootId: string;
  noticeAt: number;
  /** Time of the last notice about each worker that the VM uses. */
  used: Map<string, number>;
  sent: SentTotals;
}

/** Counts online requests of owned workers and replies to notices with totals. */
export class OwnedWorkersController implements OwnedWorkerLoads {
  private readonly ledger = new NoticeLedger();

  private readonly polls = new Map<string, CompletedPoll>();

  private readonly pollsInProgress = new Set<string>();

  private readonly batch = new Map<string, number>();

  private readonly subscribers = new Map<string, Subscriber>();

  private readonly urgentLimiter = createUrgentTotalsRateLimiter();

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
    return this.options.shards.fenceOf(computeShard(workerId)) !== undefined;
  }

  online(workerId: string): number {
    return this.ledger.online(workerId);
  }

  slots(workerId: string): number {
    const report = this.polls.get(workerId)?.report;
    if (report !== undefined) return report.slots;
    const service = this.options.directory.find(workerId)?.service ?? '';
    return this.options.configuration.get(RecordKind.Service, service)?.spec.slotsPerWorker ?? 1;
  }

  report(workerId: string): LoadReport | undefined {
    return this.polls.get(workerId)?.report;
  }

  isComplete(workerId: string): boolean {
    const since = this.options.shards.ownedSince(computeShard(workerId));
    if (since === undefined) return false;
    if (this.options.io.timer.now() - since >= COUNTS_COMPLETE_AFTER_MS) return true;
    return this.options.membership
      .members()
      .filter((member) => member.state === MemberState.Alive)
      .every((member) => (this.ledger.lastNoticeAt(member.entryVmId) ?? -1) >= since);
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

  /** Applies a notice; called directly for this VM and on datagrams from other VMs. */
  accept(notice: OnlineNotice): void {
    const changed = this.ledger.apply(notice, this.options.io.timer.now());
    this.notifyHandlers(changed);
    this.sendUrgentTotals(notice.from, changed);
  }

  /** Sends totals at once to other entry VMs if a quarter of their known free slots is taken. */
  private sendUrgentTotals(senderId: string, changed: readonly string[]): void {
    const owned = changed.filter((id) => this.isOwned(id));
    if (owned.length === 0) return;
    const now = this.options.io.timer.now();
    for (const [entryVmId, subscriber] of this.subscribers) {
      if (entryVmId === senderId) continue;
      const urgent = subscriber.sent.selectUrgent(this.listTotals(entryVmId, owned), now);
      if (urgent.length > 0 && this.urgentLimiter.tryConsume(now)) this.send(entryVmId, urgent);
    }
  }

  private listTotals(entryVmId: string, workerIds: readonly string[]): ReceiverTotal[] {
    return workerIds.map((id) => ({
      total: this.total(id),
      receiverOnline: this.ledger.onlineOf(entryVmId, id),
    }));
  }

  private answer(notice: OnlineNotice): void {
    const now = this.options.io.timer.now();
    this.accept(notice);
    const subscriber = this.findOrCreateSubscriber(notice, now);
    const workerIds = Object.keys(notice.inFlight);
    workerIds.forEach((id) => subscriber.used.set(id, now));
    const owned = workerIds.filter((id) => this.isOwned(id));
    this.sendDue(notice.from, subscriber, owned);
  }

  private findOrCreateSubscriber({ from, bootId }: OnlineNotice, now: number): Subscriber {
    const existing = this.subscribers.get(from);
    if (existing?.bootId === bootId) {
      existing.noticeAt = now;
      return existing;
    }
    const added: Subscriber = { bootId, noticeAt: now, used: new Map(), sent: new SentTotals() };
    this.subscribers.set(from, added);
    return added;
  }

  /** Sends the totals that are due to the entry VM. */
  private sendDue(entryVmId: string, subscriber: Subscriber, workerIds: readonly string[]): void {
    const candidates = this.listTotals(entryVmId, workerIds);
    this.send(entryVmId, subscriber.sent.selectDue(candidates, this.options.io.timer.now()));
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
    this.notifyHandlers(this.ledger.expire(now, (id) => this.isDead(id)));
    const owned = this.workerIds();
    for (const [entryVmId, subscriber] of this.subscribers) {
      if (now - subscriber.noticeAt < SENDER_TIMEOUT_MS) {
        this.sendDue(entryVmId, subscriber, this.selectWorkers(entryVmId, subscriber, owned));
      } else if (now - subscriber.noticeAt >= SUBSCRIBER_TTL_MS) this.subscribers.delete(entryVmId);
    }
    this.pollAll();
  }

  /** Selects the owned workers that an entry VM uses, and some that it could use instead. */
  private selectWorkers(entryVmId: string, subscriber: Subscriber, owned: string[]): string[] {
    const now = this.options.io.timer.now();
    const { directory, membership } = this.options;
    const services = new Set<string>();
    for (const [id, noticeAt] of subscriber.used) {
      if (now - noticeAt >= SENDER_TIMEOUT_MS) subscriber.used.delete(id);
      services.add(directory.find(id)?.service ?? '');
    }
    const zone = membership.find(entryVmId)?.availabilityZone;
    const unused = owned
      .map((id) => directory.find(id))
      .filter((worker) => worker !== undefined)
      .filter(({ id, service }) => services.has(service) && !subscriber.used.has(id));
    const local = unused.filter(({ availabilityZone }) => availabilityZone === zone);
    const remote = unused.filter(({ availabilityZone }) => availabilityZone !== zone);
    const alternatives = [...local, ...remote].slice(0, MAX_ALTERNATIVES).map(({ id }) => id);
    return [...owned.filter((id) => subscriber.used.has(id)), ...alternatives];
  }

  private isDead(entryVmId: string): boolean {
    const state = this.options.membership.find(entryVmId)?.state;
    return state === MemberState.Dead;
  }

  private notifyHandlers(workerIds: readonly string[]): void {
    for (const id of workerIds) this.handlers.forEach((handler) => handler(id));
  }

  private pollAll(): void {
    const owned = new Set(this.workerIds());
    for (const id of this.polls.keys()) {
      if (!owned.has(id)) this.polls.delete(id);
    }
    for (const id of owned) {
      if (!this.pollsInProgress.has(id)) void this.poll(id);
    }
  }

  private async poll(workerId: string): Promise<void> {
    const worker = this.options.directory.find(workerId);
    if (worker === undefined) return;
    this.pollsInProgress.add(workerId);
    const afterSequence = this.polls.get(workerId)?.lastSequence ?? 0;
    const reply = await this.options.io.backendServers.readLoad(worker, afterSequence);
    this.pollsInProgress.delete(workerId);
    if (reply.isErr()) {
      // A restarted worker restarts its sequence, so the next poll requests all events.
      if (!this.polls.delete(workerId)) return;
      this.log.write('poll-failed', { worker: workerId, reason: reply.error.message });
      this.options.io.metrics.increment('worker_load.poll_failed');
      return;
    }
    const report = reply.value;
    const lastSequence = report.cacheEvents.at(-1)?.sequence ?? afterSequence;
    this.polls.set(workerId, { report, lastSequence });
    this.options.onCacheEvents?.(workerId, report.cacheEvents, afterSequence);
  }
}
