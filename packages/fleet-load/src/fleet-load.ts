import type { WorkerLoad, WorkerLoads } from '@jujubelanding/interfaces';
import type { Subscription, Timer } from '@jujubelanding/timer';
import type { LoadMessage, WorkerCount } from './message.js';

/** Changes within this time share a message. */
const MESSAGE_INTERVAL_MS = 100;

/** A message without changes tells that the VM lives. */
const HEARTBEAT_MS = 400;

/** Counts of a VM that has been silent for this long are dropped: over three heartbeats. */
export const SILENCE_MS = 1300;

/** Workers with at most this many free slots are reported at once. */
const SCARCE_SLOTS = 1;

/** Shortest time between two messages about scarce slots. */
const URGENT_INTERVAL_MS = 15;

interface Count {
  online: number;
  batch: number;
}

interface Peer {
  bootId: string;
  sequence: number;
  heardAt: number;
  isLeaving: boolean;
  workers: Map<string, Count>;
}

export interface FleetLoadOptions {
  timer: Timer;
  entryVmId: string;
  bootId: string;
  /** Sends to all other entry VMs. */
  send: (message: LoadMessage) => void;
  /** Requests that a worker runs at a time. */
  slotsOf: (workerId: string) => number;
}

const NONE: Count = { online: 0, batch: 0 };

/** Counts the work of this VM and knows that of the others from their messages. */
export class FleetLoad implements WorkerLoads {
  private readonly own = new Map<string, Count>();

  private readonly peers = new Map<string, Peer>();

  private readonly handlers = new Set<() => void>();

  private readonly subscriptions: Subscription[] = [];

  private sequence = 0;

  private sentAt = -Infinity;

  private pending: Subscription | undefined;

  private pendingAt = Infinity;

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

  /** Tells the others at once that this VM takes no new callers. */
  leave(): void {
    this.isLeaving = true;
    this.send();
  }

  get(workerId: string): WorkerLoad {
    const total = { ...(this.own.get(workerId) ?? NONE) };
    for (const peer of this.freshPeers()) {
      const count = peer.workers.get(workerId) ?? NONE;
      total.online += count.online;
      total.batch += count.batch;
    }
    return { workerId, slots: this.options.slotsOf(workerId), ageMs: 0, ...total };
  }

  begin(workerId: string): void {
    this.add(workerId, 1, 0);
  }

  end(workerId: string): void {
    this.add(workerId, -1, 0);
  }

  beginBatch(workerId: string): void {
    this.add(workerId, 0, 1);
  }

  endBatch(workerId: string): void {
    this.add(workerId, 0, -1);
  }

  ownInFlight(workerId: string): number {
    return this.own.get(workerId)?.online ?? 0;
  }

  ownBatch(workerId: string): number {
    return this.own.get(workerId)?.batch ?? 0;
  }

  /** Batch items of each VM on a worker, in order of VM ids. */
  listBatch(workerId: string): { entryVmId: string; batch: number }[] {
    const own = { entryVmId: this.options.entryVmId, batch: this.ownBatch(workerId) };
    const others = this.listFresh().map(([entryVmId, peer]) => ({
      entryVmId,
      batch: peer.workers.get(workerId)?.batch ?? 0,
    }));
    return [own, ...others].toSorted((a, b) => (a.entryVmId < b.entryVmId ? -1 : 1));
  }

  /** Ids of the other VMs that were heard lately and do not leave. */
  listServing(): string[] {
    return this.listFresh()
      .filter(([, peer]) => !peer.isLeaving)
      .map(([entryVmId]) => entryVmId);
  }

  hasLeft(entryVmId: string, bootId: string): boolean {
    const peer = this.peers.get(entryVmId);
    return peer?.bootId === bootId && peer.isLeaving;
  }

  receive(message: LoadMessage): void {
    const known = this.peers.get(message.entryVmId);
    const isOld = known?.bootId === message.bootId && message.sequence <= known.sequence;
    if (isOld || message.entryVmId === this.options.entryVmId) return;
    this.peers.set(message.entryVmId, {
      bootId: message.bootId,
      sequence: message.sequence,
      heardAt: this.options.timer.now(),
      isLeaving: message.isLeaving,
      workers: new Map(message.workers.map(([id, online, batch]) => [id, { online, batch }])),
    });
    this.handlers.forEach((handler) => handler());
  }

  /** Calls the handler when work of this or another VM has changed. */
  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  private add(workerId: string, online: number, batch: number): void {
    const count = this.own.get(workerId) ?? { ...NONE };
    count.online += online;
    count.batch += batch;
    if (count.online === 0 && count.batch === 0) this.own.delete(workerId);
    else this.own.set(workerId, count);
    this.schedule(online > 0 && this.isScarce(workerId));
    if (online > 0) this.handlers.forEach((handler) => handler());
  }

  private isScarce(workerId: string): boolean {
    const load = this.get(workerId);
    return load.batch > 0 && load.slots - load.online - load.batch <= SCARCE_SLOTS;
  }

  private schedule(isUrgent: boolean): void {
    const now = this.options.timer.now();
    const interval = isUrgent ? URGENT_INTERVAL_MS : MESSAGE_INTERVAL_MS;
    const at = Math.max(now, this.sentAt + interval);
    if (at >= this.pendingAt) return;
    this.pending?.cancel();
    this.pendingAt = at;
    this.pending = this.options.timer.after(at - now, () => this.send());
  }

  private send(): void {
    this.pending?.cancel();
    this.pending = undefined;
    this.pendingAt = Infinity;
    this.sentAt = this.options.timer.now();
    this.sequence += 1;
    const { entryVmId, bootId } = this.options;
    const workers = [...this.own].map(([id, { online, batch }]): WorkerCount => [
      id,
      online,
      batch,
    ]);
    const { sequence, isLeaving } = this;
    this.options.send({ entryVmId, bootId, sequence, isLeaving, workers });
  }

  private listFresh(): [string, Peer][] {
    const oldest = this.options.timer.now() - SILENCE_MS;
    return [...this.peers].filter(([, peer]) => peer.heardAt >= oldest);
  }

  private freshPeers(): Peer[] {
    return this.listFresh().map(([, peer]) => peer);
  }
}
