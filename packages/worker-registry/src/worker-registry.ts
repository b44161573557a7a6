import { getErrorMessage } from '@jujubelanding/errors';
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
}

/** Workers by their entries in the store; entries that expired in an outage remain for a grace period. */
export class WorkerRegistry implements Pick<
  Directory,
  'workersOf' | 'find' | 'all' | 'entryVms' | 'onChange'
> {
  private readonly workers = new Map<string, RegisteredWorker>();

  /** Workers whose entries disappeared around an outage, until the grace period ends. */
  private readonly missing = new Set<string>();

  /** Keys of entries that are skipped, so that each is logged once and not at each write. */
  private readonly skipped = new Set<string>();

  private readonly handlers = new Set<() => void>();

  private isReachable = true;

  /** Set during the grace period, in which deletions may still result from an outage. */
  private gracePeriodTimer: Subscription | undefined;

  constructor(private readonly options: WorkerRegistryOptions) {}

  workersOf(service: string): RegisteredWorker[] {
    return this.all().filter(
      (worker) => worker.service === service && worker.state === VmState.Live,
    );
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

  apply(changes: readonly FollowedChange[]): void {
    changes.forEach(({ kind, entry }) => {
      const id = entry.key.slice(this.options.prefix.length);
      if (kind === ChangeKind.Delete) this.remove(id);
      else this.add(id, entry.value);
    });
    this.handlers.forEach((handler) => handler());
  }

  private add(id: string, value: string): void {
    const worker = this.decode(id, value);
    if (worker === undefined) return;
    this.skipped.delete(id);
    const previous = this.workers.get(id);
    this.missing.delete(id);
    this.workers.set(id, worker);
    if (previous?.state === worker.state && previous.startedAt === worker.startedAt) return;
    const { service, address, state, availabilityZone: zone } = worker;
    this.options.log.write('worker', { worker: id, service, address, state, zone });
  }

  /** Returns undefined for an entry that is not a valid worker. */
  private decode(id: string, value: string): RegisteredWorker | undefined {
    const { decode, log } = this.options;
    let reason = 'unreadable entry';
    try {
      const worker = decode(id, value);
      if (worker !== undefined) return worker;
    } catch (thrown) {
      reason = getErrorMessage(thrown);
    }
    if (!this.skipped.has(id)) log.write('worker-skipped', { worker: id, reason });
    this.skipped.add(id);
    return undefined;
  }

  private remove(id: string): void {
    this.skipped.delete(id);
    if (!this.isReachable || this.gracePeriodTimer !== undefined) {
      this.missing.add(id);
      this.options.log.write('worker-missing', { worker: id });
      return;
    }
    if (this.workers.delete(id)) this.options.log.write('worker-gone', { worker: id });
  }

  private endGracePeriod(): void {
    this.gracePeriodTimer = undefined;
    for (const id of this.missing) {
      this.workers.delete(id);
      this.options.log.write('worker-gone', {
        worker: id,
        reason: 'did not register again after an outage',
      });
    }
    this.missing.clear();
    this.handlers.forEach((handler) => handler());
  }
}
