import type { Fault } from '@jujubelanding/errors';
import type { Directory, EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { VmListReadResult } from '@jujubelanding/platform';
import type { Subscription } from '@jujubelanding/timer';
import type { PeerAddress, Worker } from '@jujubelanding/types';
import { buildVmIndex, EMPTY_VM_INDEX, markWorkersLeaving, type VmIndex } from './vm-index.js';

/**
 * A leaving backend server must stop getting new work within 2 s; polling four times as often
 * leaves margin.
 */
export const VM_LIST_POLL_INTERVAL_MS = 500;

/**
 * Time without a tick after which the process is assumed to have been paused, so that workers may have
 * ended unnoticed. Together with one poll interval before the pause it stays below the bound of 2 s.
 */
export const PAUSE_THRESHOLD_MS = 1200;

export interface DirectoryOptions {
  io: Pick<EntryVmIo, 'timer' | 'vmList' | 'createLog' | 'metrics'>;
}

/**
 * Polls the VM list; while the list cannot be read, the content that was read last stays in use.
 */
export class DirectoryController implements Directory {
  private readonly log: Log;

  private readonly handlers = new Set<() => void>();

  private vmIndex: VmIndex = EMPTY_VM_INDEX;

  private tag: string | undefined;

  /**
   * Used instead of `vmIndex` from the end of a pause until a read started after the pause
   * completes.
   */
  private suspendedIndex: VmIndex | undefined;

  /** Time at which the last pause was detected. */
  private resumedAt = Number.NEGATIVE_INFINITY;

  private lastTickAt: number;

  private isReading = false;

  private failures = 0;

  private pollSubscription: Subscription | undefined;

  constructor(private readonly options: DirectoryOptions) {
    this.log = options.io.createLog('directory');
    this.lastTickAt = options.io.timer.now();
  }

  start(): void {
    this.lastTickAt = this.options.io.timer.now();
    this.pollSubscription ??= this.options.io.timer.every(VM_LIST_POLL_INTERVAL_MS, () => {
      this.detectPause();
      void this.refresh();
    });
    void this.refresh();
  }

  stop(): void {
    this.pollSubscription?.cancel();
    this.pollSubscription = undefined;
  }

  /** Reads the list once; resolves after success and after failure. */
  async refresh(): Promise<void> {
    // Skips this poll while a slow read is in progress, so that reads do not pile up.
    if (this.isReading) return;
    this.isReading = true;
    const startedAt = this.options.io.timer.now();
    const result = await this.options.io.vmList.read(this.tag);
    this.isReading = false;
    this.detectPause();
    if (result.isErr()) this.recordFailure(result.error);
    else this.updateIndex(result.value);
    // A read started before the pause may return content from before the pause, so read again.
    if (startedAt >= this.resumedAt) this.suspendedIndex = undefined;
    else void this.refresh();
  }

  workersOf(service: string): Worker[] {
    return this.current().liveWorkersByService.get(service) ?? [];
  }

  find(workerId: string): Worker | undefined {
    return this.current().workersById.get(workerId);
  }

  all(): Worker[] {
    return [...this.current().workers];
  }

  entryVms(): PeerAddress[] {
    return [...this.vmIndex.entryVms];
  }

  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  private current(): VmIndex {
    // After a pause, a request may be handled before the first tick.
    this.detectPause();
    return this.suspendedIndex ?? this.vmIndex;
  }

  /** Treats all workers as leaving if this process did not run for a while. */
  private detectPause(): void {
    const now = this.options.io.timer.now();
    const silenceMs = now - this.lastTickAt;
    this.lastTickAt = now;
    if (silenceMs < PAUSE_THRESHOLD_MS || this.pollSubscription === undefined) return;
    this.resumedAt = now;
    this.suspendedIndex = markWorkersLeaving(this.vmIndex);
    this.log.write('paused', { silenceMs });
    void this.refresh();
  }

  private updateIndex({ tag, vms, skipped }: VmListReadResult): void {
    this.failures = 0;
    if (vms === undefined || tag === this.tag) return;
    this.tag = tag;
    this.vmIndex = buildVmIndex(vms);
    this.log.write('vm-list-changed', {
      tag,
      workers: this.vmIndex.workers.length,
      entryVms: this.vmIndex.entryVms.length,
      skipped,
    });
    this.handlers.forEach((handler) => handler());
  }

  private recordFailure(fault: Fault): void {
    this.failures += 1;
    this.options.io.metrics.increment('vm_list.failures');
    // Logs once per outage, not once per attempt.
    if (this.failures === 1) {
      this.log.write('vm-list-unavailable', { code: fault.code, message: fault.message });
    }
  }
}
