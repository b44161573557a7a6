/** Load reports of all workers, read in turn at a low rate. */
import type { Directory, EntryVmIo } from '@jujubelanding/interfaces';
import type { LoadReport } from '@jujubelanding/types';

/** Each worker is read about once in this number of ticks. */
const TICKS_PER_PASS = 15;
/** Placement needs no cache events. */
const NO_CACHE_EVENTS = Number.MAX_SAFE_INTEGER;

export class WorkerReports {
  private readonly reports = new Map<string, LoadReport>();

  private readonly tried = new Set<string>();

  private position = 0;

  constructor(
    private readonly io: Pick<EntryVmIo, 'backendServers'>,
    private readonly directory: Directory,
  ) {}

  /** True once each listed worker has been asked, whether it answered or not. */
  isComplete(): boolean {
    return this.directory.all().every(({ id }) => this.tried.has(id));
  }

  get(workerId: string): LoadReport | undefined {
    return this.reports.get(workerId);
  }

  forget(): void {
    this.reports.clear();
    this.tried.clear();
  }

  /** Reads the next workers in turn; those that were never asked come first. */
  async readNext(): Promise<void> {
    const all = this.directory.all();
    const listed = new Set(all.map(({ id }) => id));
    [...this.reports.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.reports.delete(id));
    const count = Math.ceil(all.length / TICKS_PER_PASS);
    const fresh = all.filter(({ id }) => !this.tried.has(id)).slice(0, 4 * count);
    const turn = Array.from(
      { length: count },
      (_, index) => all[(this.position + index) % all.length]!,
    );
    this.position += count;
    const workers = fresh.length > 0 ? fresh : turn;
    await Promise.all(
      workers.map(async (worker) => {
        const report = await this.io.backendServers.readLoad(worker, NO_CACHE_EVENTS);
        this.tried.add(worker.id);
        if (report.isOk()) this.reports.set(worker.id, report.value);
        else this.reports.delete(worker.id);
      }),
    );
  }
}
