import type { WorkerLoad, WorkerLoads } from '@jujubelanding/interfaces';
import type { Subscription, Timer } from '@jujubelanding/timer';
import type { LoadMessage, WaitingCount, WorkerCount } from './load-message.js';

/** Changes within this interval are sent in one message. */
const MESSAGE_INTERVAL_MS = 100;

/** Interval of messages that are sent even without changes, as a liveness signal. */
const HEARTBEAT_MS = 400;

/** Counts of a VM without messages for this long, just over three heartbeats, are dropped. */
export const PEER_TIMEOUT_MS = 1300;

/** Online requests on workers with batch work and at most this many free slots are sent at once. */
const LOW_FREE_SLOTS = 1;

/** Shortest interval between messages about workers that are nearly full. */
const URGENT_INTERVAL_MS = 15;

interface WorkCount {
  online: number;
  /** Due times of the batch items in progress. */
  batchDue: number[];
}

/** Batch items that a VM has in progress on a worker, by their due times. */
export interface VmBatchItems {
  entryVmId: string;
  due: readonly number[];
}

interface Peer {
  bootId: string;
  sequence: number;
  lastMessageAt: number;
  isLeaving: boolean;
  workers: Map<string, WorkCount>;
  waiting: readonly WaitingCount[];
}

export interface FleetLoadOptions {
  timer: Timer;
  entryVmId: string;
  bootId: string;
  /** Sends to all other entry VMs. */
  send: (message: LoadMessage) => void;
  /** Requests that a worker runs concurrently. */
  slotsOf: (workerId: string) => number;
}

const NO_WORK: WorkCount = { online: 0, batchDue: [] };

/** Counts the work of this VM and merges the counts received from other VMs. */
export class FleetLoad implements WorkerLoads {
  private readonly localCounts = new Map<string, WorkCount>();

  private readonly peers = new Map<string, Peer>();

  private readonly handlers = new Set<() => void>();

  private readonly subscriptions: Subscription[] = [];

  private waiting: readonly WaitingCount[] = [];

  private sequence = 0;

  private sentAt = -Infinity;

  private pending: Subscription | undefined;

  private scheduledAt = Infinity;

  private isLeaving = false;

  constructor(private readonly options: FleetLoadOptions) {}

  start(): void {
    const { timer } = this.options;
    this.subscriptions.push(
      timer.every(HEARTBEAT_MS, () => {
        if (timer.now() - this.sentAt >= HEARTBEAT_MS / 2) this.send();
      }),
    );
    this.send();
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.pending?.cancel();
  }

  /** Announces at once that this VM accepts no new callers. */
  announceLeaving(): void {
    this.isLeaving = true;
    this.send();
  }

  get(workerId: string): WorkerLoad {
    const localCount = this.localCounts.get(workerId) ?? NO_WORK;
    const total = { online: localCount.online, batch: localCount.batchDue.length };
    for (const peer of this.listLivePeers()) {
      const count = peer.workers.get(workerId) ?? NO_WORK;
      total.online += count.online;
      total.batch += count.batchDue.length;
    }
    return { workerId, slots: this.options.slotsOf(workerId), ageMs: 0, ...total };
  }

  beginRequest(workerId: string): void {
    this.change(workerId, ({ online, batchDue }) => ({ online: online + 1, batchDue }));
    this.schedule(this.isNearlyFull(workerId));
    this.handlers.forEach((handler) => handler());
  }

  endRequest(workerId: string): void {
    this.change(workerId, ({ online, batchDue }) => ({ online: online - 1, batchDue }));
    this.schedule(false);
  }

  beginBatch(workerId: string, dueAt: number): void {
    this.change(workerId, ({ online, batchDue }) => ({ online, batchDue: [...batchDue, dueAt] }));
    this.schedule(false);
  }

  endBatch(workerId: string, dueAt: number): void {
    this.change(workerId, ({ online, batchDue }) => ({
      online,
      batchDue: batchDue.toSpliced(batchDue.indexOf(dueAt), 1),
    }));
    this.schedule(false);
  }

  /** Sets the numbers of this VM's batch items that wait for a worker, by service and due time. */
  setWaiting(waiting: readonly WaitingCount[]): void {
    const hasChanged = String(waiting) !== String(this.waiting);
    this.waiting = waiting;
    if (hasChanged) this.schedule(false);
  }

  /** Counts waiting batch items of a service on other VMs that are due before a time. */
  countWaitingBefore(service: string, dueAt: number): number {
    return this.listLivePeers()
      .flatMap(({ waiting }) => waiting)
      .filter(
        ([waitingService, waitingDueAt]) => waitingService === service && waitingDueAt < dueAt,
      )
      .reduce((sum, [, , items]) => sum + items, 0);
  }

  localInFlight(workerId: string): number {
    return this.localCounts.get(workerId)?.online ?? 0;
  }

  /** Lists the batch items of each VM on a worker, sorted by VM id. */
  listBatch(workerId: string): VmBatchItems[] {
    const localItems = {
      entryVmId: this.options.entryVmId,
      due: (this.localCounts.get(workerId) ?? NO_WORK).batchDue,
    };
    const others = this.listLivePeerEntries().map(([entryVmId, peer]) => ({
      entryVmId,
      due: (peer.workers.get(workerId) ?? NO_WORK).batchDue,
    }));
    return [localItems, ...others].toSorted((a, b) => (a.entryVmId < b.entryVmId ? -1 : 1));
  }

  /** Lists the ids of other VMs that are alive and not shutting down. */
  listServing(): string[] {
    return this.listLivePeerEntries()
      .filter(([, peer]) => !peer.isLeaving)
      .map(([entryVmId]) => entryVmId);
  }

  /** Returns whether the given run of an entry VM has announced its shutdown. */
  hasLeft(entryVmId: string, bootId: string): boolean {
    const peer = this.peers.get(entryVmId);
    return peer?.bootId === bootId && peer.isLeaving;
  }

  receive(message: LoadMessage): void {
    const previous = this.peers.get(message.entryVmId);
    const isOld = previous?.bootId === message.bootId && message.sequence <= previous.sequence;
    if (isOld || message.entryVmId === this.options.entryVmId) return;
    this.peers.set(message.entryVmId, {
      bootId: message.bootId,
      sequence: message.sequence,
      lastMessageAt: this.options.timer.now(),
      isLeaving: message.isLeaving,
      workers: new Map(message.workers.map(([id, online, batchDue]) => [id, { online, batchDue }])),
      waiting: message.waiting,
    });
    this.handlers.forEach((handler) => handler());
  }

  /** Calls the handler when this VM begins an online request or a message of another VM arrives. */
  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  private change(workerId: string, update: (count: WorkCount) => WorkCount): void {
    const count = update(this.localCounts.get(workerId) ?? NO_WORK);
    if (count.online === 0 && count.batchDue.length === 0) this.localCounts.delete(workerId);
    else this.localCounts.set(workerId, count);
  }

  private isNearlyFull(workerId: string): boolean {
    const load = this.get(workerId);
    return load.batch > 0 && load.slots - load.online - load.batch <= LOW_FREE_SLOTS;
  }

  private schedule(isUrgent: boolean): void {
    const now = this.options.timer.now();
    const interval = isUrgent ? URGENT_INTERVAL_MS : MESSAGE_INTERVAL_MS;
    const at = Math.max(now, this.sentAt + interval);
    if (at >= this.scheduledAt) return;
    this.pending?.cancel();
    this.scheduledAt = at;
    this.pending = this.options.timer.after(at - now, () => this.send());
  }

  private send(): void {
    this.pending?.cancel();
    this.pending = undefined;
    this.scheduledAt = Infinity;
    this.sentAt = this.options.timer.now();
    this.sequence += 1;
    const { entryVmId, bootId } = this.options;
    const workers = [...this.localCounts].map(([id, { online, batchDue }]): WorkerCount => [
      id,
      online,
      batchDue,
    ]);
    const { sequence, isLeaving } = this;
    const waiting = [...this.waiting];
    this.options.send({ entryVmId, bootId, sequence, isLeaving, workers, waiting });
  }

  private listLivePeerEntries(): [string, Peer][] {
    const oldest = this.options.timer.now() - PEER_TIMEOUT_MS;
    return [...this.peers].filter(([, peer]) => peer.lastMessageAt >= oldest);
  }

  private listLivePeers(): Peer[] {
    return this.listLivePeerEntries().map(([, peer]) => peer);
  }
}
