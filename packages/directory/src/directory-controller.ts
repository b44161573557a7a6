import type { Fault } from '@jujubelanding/errors';
import type { Directory, EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { VmListing } from '@jujubelanding/platform';
import type { Subscription } from '@jujubelanding/timer';
import type { PeerAddress, Worker } from '@jujubelanding/types';
import { buildListing, EMPTY_LISTING, type Listing } from './listing.js';

/** Leaving backend servers must get no new work within 2 s, so the list is read four times as often. */
export const VM_LIST_INTERVAL_MS = 500;

export interface DirectoryOptions {
  io: Pick<EntryVmIo, 'timer' | 'vmList' | 'createLog' | 'metrics'>;
}

/** Reads the VM list at intervals; while it cannot be read, the last content stays in use. */
export class DirectoryController implements Directory {
  private readonly log: Log;

  private readonly handlers = new Set<() => void>();

  private listing: Listing = EMPTY_LISTING;

  private tag: string | undefined;

  private isReading = false;

  private failures = 0;

  private polling: Subscription | undefined;

  constructor(private readonly options: DirectoryOptions) {
    this.log = options.io.createLog('directory');
  }

  start(): void {
    this.polling ??= this.options.io.timer.every(VM_LIST_INTERVAL_MS, () => {
      void this.refresh();
    });
    void this.refresh();
  }

  stop(): void {
    this.polling?.cancel();
    this.polling = undefined;
  }

  /** Reads the list once; resolves when it was read or could not be. */
  async refresh(): Promise<void> {
    // A slow list must not collect calls in progress.
    if (this.isReading) return;
    this.isReading = true;
    const result = await this.options.io.vmList.read(this.tag);
    this.isReading = false;
    if (result.isErr()) this.countFailure(result.error);
    else this.accept(result.value);
  }

  workersOf(service: string): Worker[] {
    return this.listing.liveByService.get(service) ?? [];
  }

  find(workerId: string): Worker | undefined {
    return this.listing.workersById.get(workerId);
  }

  all(): Worker[] {
    return [...this.listing.workers];
  }

  entryVms(): PeerAddress[] {
    return [...this.listing.entryVms];
  }

  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  private accept({ tag, vms }: VmListing): void {
    this.failures = 0;
    if (vms === undefined || tag === this.tag) return;
    this.tag = tag;
    this.listing = buildListing(vms);
    this.log.write('vm-list-changed', {
      tag,
      workers: this.listing.workers.length,
      entryVms: this.listing.entryVms.length,
    });
    this.handlers.forEach((handler) => handler());
  }

  private countFailure(fault: Fault): void {
    this.failures += 1;
    this.options.io.metrics.increment('vm_list_failures');
    // One line for each outage, not for each attempt.
    if (this.failures === 1) {
      this.log.write('vm-list-unavailable', { code: fault.code, message: fault.message });
    }
  }
}
