import type { Directory } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { ChangeKind } from '@jujubelanding/platform';
import type { FollowedChange } from '@jujubelanding/store-follower';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { VmState, type Worker } from '@jujubelanding/types';

/**
 * A live worker whose entry expired during an outage of the store registers again within two seconds
 * of its return; until then a missing entry does not mean that the worker has ended.
 */
const OUTAGE_GRACE_PERIOD_MS = 2300;

/**
 * Time for which it is remembered that a worker without an entry was leaving. An old entry may come back
 * with the return of the store or in the copy of another VM.
 */
const LEAVING_MEMORY_MS = 10 * 60_000;

/** A worker as read from its entry in the store. */
export interface RegisteredWorker extends Worker {
  slots: number;
  /** Epoch milliseconds of this run of the worker. */
  startedAt: number;
}

export interface WorkerRegistryOptions {
  timer: Timer;
  log: Log;
  /** Key prefix of entries; the worker's id follows. */
  prefix: string;
  /** Returns undefined if the entry is not a valid worker. */
  decode: (id: string, value: string) => RegisteredWorker | undefined;
  /**
   * Time after the first announcement of a leaving worker in which it is used if no other worker of its
   * service is left.
   */
  lastResortMs: number;
}

/** The run of a worker that announced in an answer that it is leaving. */
interface LeavingRun {
  startedAt: number;
  announcedAt: number;
  /** State in the entry of the worker, which may be older than the announcement. */
  entryState: VmState | undefined;
  /** Time since which the worker has no entry. */
  unlistedAt: number | undefined;
}

/**
 * Workers by their entries in the store; entries that expired in an outage remain for a grace period. A
 * run of a worker that announced in an answer that it is leaving counts as leaving, whatever its entry
 * says.
 */
export class WorkerRegistry implements Pick<
  Directory,
  'workersOf' | 'find' | 'all' | 'entryVms' | 'onChange'
> {
  private readonly workers = new Map<string, RegisteredWorker>();

  /** Workers whose entries disappeared around an outage, until the grace period ends. */
  private readonly missing = new Set<string>();

  /** Runs that announced in an answer that they are leaving, by worker id. */
  private readonly leavingRuns = new Map<string, LeavingRun>();

  private readonly handlers = new Set<() => void>();

  private isReachable = true;

  /** Set during the grace period, in which deletions may still result from an outage. */
  private gracePeriodTimer: Subscription | undefined;

  constructor(private readonly options: WorkerRegistryOptions) {}

  /**
   * Returns the workers of a service that accept new work. If all are leaving, they are those that still
   * serve requests, as a refusal would not help the callers.
   */
  workersOf(service: string): RegisteredWorker[] {
    const workers = this.all().filter((worker) => worker.service === service);
    const live = workers.filter(({ state }) => state === VmState.Live);
    return live.length > 0 ? live : workers.filter(({ id }) => this.isLastResort(id));
  }

  /** Returns the ids of listed workers that announced in an answer that they are leaving. */
  listLeaving(): string[] {
    return [...this.leavingRuns.keys()].filter((id) => this.workers.has(id));
  }

  find(workerId: string): RegisteredWorker | undefined {
    return this.workers.get(workerId);
  }

  all(): RegisteredWorker[] {
    return [...this.workers.values()];
  }

  /** Required by `Directory`; this registry contains only workers. */
  entryVms(): [] {
    return [];
  }

  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  /** Records whether the store is reachable; the grace period starts when it becomes reachable. */
  setReachable(isReachable: boolean): void {
    this.isReachable = isReachable;
    this.gracePeriodTimer?.cancel();
    this.gracePeriodTimer = undefined;
    if (!isReachable) return;
    this.gracePeriodTimer = this.options.timer.after(OUTAGE_GRACE_PERIOD_MS, () =>
      this.endGracePeriod(),
    );
  }

  /** Records that this run of a worker announced in an answer that it is leaving. */
  recordLeaving({ id, service, startedAt = 0 }: Worker): void {
    const entry = this.workers.get(id);
    // The answer may be from a run before the one that is listed now.
    if (entry !== undefined && entry.startedAt > startedAt) return;
    const known = this.leavingRuns.get(id);
    if (known !== undefined && known.startedAt >= startedAt) return;
    const now = this.options.timer.now();
    this.leavingRuns.set(id, {
      startedAt,
      announcedAt: now,
      entryState: entry?.state,
      unlistedAt: entry === undefined ? now : undefined,
    });
    if (entry !== undefined) this.workers.set(id, { ...entry, state: VmState.Leaving });
    this.options.log.write('worker-leaving', { worker: id, service, entryState: entry?.state });
    this.handlers.forEach((handler) => handler());
  }

  apply(changes: readonly FollowedChange[]): void {
    changes.forEach(({ kind, entry }) => {
      const id = entry.key.slice(this.options.prefix.length);
      if (kind === ChangeKind.Delete) this.remove(id);
      else this.add(id, entry.value);
    });
    this.forgetUnlisted();
    this.handlers.forEach((handler) => handler());
  }

  private add(id: string, value: string): void {
    const entry = this.options.decode(id, value);
    if (entry === undefined) {
      this.options.log.write('worker-skipped', { worker: id, reason: 'unreadable entry' });
      return;
    }
    const previous = this.workers.get(id);
    const worker = this.applyAnnouncement(entry);
    this.missing.delete(id);
    this.workers.set(id, worker);
    if (previous?.state === worker.state && previous.startedAt === worker.startedAt) return;
    const { service, address, state, availabilityZone: zone } = worker;
    this.options.log.write('worker', { worker: id, service, address, state, zone });
  }

  /** Returns the worker as leaving if this run, or a later one, has announced it. */
  private applyAnnouncement(entry: RegisteredWorker): RegisteredWorker {
    const leavingRun = this.leavingRuns.get(entry.id);
    if (leavingRun === undefined) return entry;
    if (entry.startedAt > leavingRun.startedAt) {
      this.leavingRuns.delete(entry.id);
      return entry;
    }
    leavingRun.entryState = entry.state;
    leavingRun.unlistedAt = undefined;
    return { ...entry, state: VmState.Leaving };
  }

  private isLastResort(id: string): boolean {
    const leavingRun = this.leavingRuns.get(id);
    if (leavingRun?.entryState !== VmState.Live) return false;
    return this.options.timer.now() - leavingRun.announcedAt < this.options.lastResortMs;
  }

  private forgetUnlisted(): void {
    const forgottenBefore = this.options.timer.now() - LEAVING_MEMORY_MS;
    for (const [id, { unlistedAt = Infinity }] of this.leavingRuns) {
      if (unlistedAt <= forgottenBefore) this.leavingRuns.delete(id);
    }
  }

  /** Removes a worker; returns false if it was not listed. */
  private unlist(id: string): boolean {
    const leavingRun = this.leavingRuns.get(id);
    if (leavingRun !== undefined) leavingRun.unlistedAt ??= this.options.timer.now();
    return this.workers.delete(id);
  }

  private remove(id: string): void {
    if (!this.isReachable || this.gracePeriodTimer !== undefined) {
      this.missing.add(id);
      this.options.log.write('worker-missing', { worker: id });
      return;
    }
    if (this.unlist(id)) this.options.log.write('worker-gone', { worker: id });
  }

  private endGracePeriod(): void {
    this.gracePeriodTimer = undefined;
    for (const id of this.missing) {
      this.unlist(id);
      this.options.log.write('worker-gone', {
        worker: id,
        reason: 'did not register again after an outage',
      });
    }
    this.missing.clear();
    this.handlers.forEach((handler) => handler());
  }
}
