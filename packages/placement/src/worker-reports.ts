/** Load reports of all workers, polled round-robin at a low rate. */
import type { Directory, EntryVmIo } from '@jujubelanding/interfaces';
import type { LoadReport } from '@jujubelanding/types';

/** Each worker is polled about once in this number of ticks. */
const TICKS_PER_POLL_CYCLE = 15;
/**
 * Highest sequence number, so that reports contain no cache events, which placement does not need.
 */
const NO_CACHE_EVENTS = Number.MAX_SAFE_INTEGER;

export class WorkerReports {
  private readonly reports = new Map<string, LoadReport>();

  private readonly polledIds = new Set<string>();

  private position = 0;

  constructor(
    private readonly io: Pick<EntryVmIo, 'backendServers'>,
    private readonly directory: Directory,
  ) {}

  /** True once every listed worker has been polled, whether it answered or not. */
  isComplete(): boolean {
    return this.directory.all().every(({ id }) => this.polledIds.has(id));
  }

  get(workerId: string): LoadReport | undefined {
    return this.reports.get(workerId);
  }

  clear(): void {
    this.reports.clear();
    this.polledIds.clear();
  }

  /** Polls the next workers round-robin; workers that were never polled come first. */
  async pollNext(): Promise<void> {
    const all = this.directory.all();
    const listed = new Set(all.map(({ id }) => id));
    [...this.reports.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.reports.delete(id));
    const count = Math.ceil(all.length / TICKS_PER_POLL_CYCLE);
    const neverPolled = all.filter(({ id }) => !this.polledIds.has(id)).slice(0, 4 * count);
    const nextInRotation = Array.from(
      { length: count },
      (_, index) => all[(this.position + index) % all.length]!,
    );
    this.position += count;
    const workers = neverPolled.length > 0 ? neverPolled : nextInRotation;
    await Promise.all(
      workers.map(async (worker) => {
        const report = await this.io.backendServers.readLoad(worker, NO_CACHE_EVENTS);
        this.polledIds.add(worker.id);
        if (report.isOk()) this.reports.set(worker.id, report.value);
        else this.reports.delete(worker.id);
      }),
    );
  }
}
