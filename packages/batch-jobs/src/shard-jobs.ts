/** Jobs of one owned shard, loaded when the shard is gained and then updated by a watch. */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { ChangeKind, type KeyValueChange, type KeyValueEntry } from '@jujubelanding/platform';
import { JobStatus } from '@jujubelanding/types';
import { CommitQueue } from './commit-queue.js';
import { decodeEntry, type JobRecords, type StoredJob } from './job-records.js';
import { createShardPrefix } from './keys.js';
import type { OpenJob } from './schedule.js';

const PAGE_RECORDS = 16;
const WATCH_WAIT_MS = 20_000;
const INITIAL_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5000;
/**
 * Time for which a job loaded by a new owner gets no grants. Executors report to a new owner at once,
 * and again within a second if that report is lost.
 */
const GRANT_ADOPTION_MS = 1200;

/** Summary of an ended job, kept for copy repair and retention. */
export interface EndedJob {
  id: string;
  team: string;
  endedAt: number;
  revision: number;
  /** VMs that hold copies of its segments. */
  holders: Set<string>;
}

export interface ShardJobsOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store'>;
  log: Log;
  records: JobRecords;
  shard: number;
  fence: number;
  /** Returns the fencing number of the shard while this VM certainly owns it. */
  getFence: () => number | undefined;
  /** Called with an open job, including its grants, when its record shows that it was cancelled. */
  onCancelled: (job: OpenJob) => void;
  /** Called when an open job appears after the shard was loaded. */
  onOpened: () => void;
}

/** Returns the VMs that hold copies of a job's segments. */
export const listHolders = ({ record }: Pick<StoredJob, 'record'>): Set<string> =>
  new Set(
    record.chunks.flatMap(({ input, result }) => [...input.copies, ...(result?.copies ?? [])]),
  );

export class ShardJobs {
  readonly open = new Map<string, OpenJob>();

  readonly ended = new Map<string, EndedJob>();

  private readonly commitQueues = new Map<string, CommitQueue>();

  private isClosed = false;

  private isLoaded = false;

  constructor(private readonly options: ShardJobsOptions) {}

  get shard(): number {
    return this.options.shard;
  }

  /** Returns false as soon as the lease on the shard may have ended. */
  isOwned(): boolean {
    return this.options.getFence() !== undefined;
  }

  get fence(): number {
    return this.options.fence;
  }

  get loaded(): boolean {
    return this.isLoaded;
  }

  async run(): Promise<void> {
    while (!this.isClosed) {
      const revision = await this.load();
      if (revision !== undefined) await this.watch(revision);
    }
  }

  close(): void {
    this.isClosed = true;
    this.commitQueues.forEach((queue) => queue.close());
  }

  getCommitQueue(jobId: string): CommitQueue | undefined {
    return this.commitQueues.get(jobId);
  }

  /** Applies a record unless a newer revision is known. */
  apply(stored: StoredJob): void {
    if (this.isClosed) return;
    const { record, revision } = stored;
    const openJob = this.open.get(record.id);
    const appliedRevision = openJob?.revision ?? this.ended.get(record.id)?.revision ?? 0;
    if (revision < appliedRevision) return;
    if (record.status !== JobStatus.Open) {
      this.endJob(stored);
      return;
    }
    if (openJob === undefined) {
      this.addOpenJob(stored);
      if (this.isLoaded) this.options.onOpened();
      return;
    }
    openJob.record = record;
    openJob.revision = revision;
    openJob.isSuspended = false;
    this.commitQueues.get(record.id)?.resolveCompletions(record);
  }

  remove(jobId: string): void {
    this.commitQueues.get(jobId)?.resolveCompletions(undefined);
    this.commitQueues.delete(jobId);
    this.open.delete(jobId);
    this.ended.delete(jobId);
  }

  private addOpenJob({ record, revision }: StoredJob): void {
    const { io, log, records, getFence } = this.options;
    const job: OpenJob = {
      record,
      revision,
      grants: new Map(),
      finished: new Set(),
      isSuspended: false,
      // A job that was submitted after loading can't have grants of an earlier owner.
      grantableFrom: this.isLoaded ? 0 : io.timer.now() + GRANT_ADOPTION_MS,
    };
    const applyRecord = (stored: StoredJob | undefined): void => {
      if (stored === undefined) this.remove(record.id);
      else this.apply(stored);
    };
    this.open.set(record.id, job);
    this.commitQueues.set(
      record.id,
      new CommitQueue({ io, log, records, job, getFence, applyRecord }),
    );
  }

  private endJob(stored: StoredJob): void {
    const { record, revision } = stored;
    const job = this.open.get(record.id);
    if (job !== undefined && record.status === JobStatus.Cancelled) this.options.onCancelled(job);
    this.commitQueues.get(record.id)?.resolveCompletions(record);
    this.commitQueues.delete(record.id);
    this.open.delete(record.id);
    this.ended.set(record.id, {
      id: record.id,
      team: record.team,
      endedAt: record.endedAt ?? record.createdAt,
      revision,
      holders: listHolders(stored),
    });
  }

  /** Loads the shard's records; returns the revision from which to watch, or undefined when closed. */
  private async load(): Promise<number | undefined> {
    const { io, shard, log } = this.options;
    let revision: number | undefined;
    for (let afterKey: string | undefined, failures = 0; !this.isClosed;) {
      const page = await io.store.list(createShardPrefix(shard), PAGE_RECORDS, afterKey);
      if (page.isErr()) {
        failures += 1;
        await this.backOff(failures);
        continue;
      }
      const { entries } = page.value;
      revision ??= page.value.revision;
      entries.forEach((entry) => this.applyEntry(entry));
      if (entries.length < PAGE_RECORDS) break;
      afterKey = entries.at(-1)!.key;
    }
    if (this.isClosed) return undefined;
    this.isLoaded = true;
    log.write('shard-loaded', { shard, fence: this.fence, open: this.open.size });
    return revision;
  }

  private async watch(startRevision: number): Promise<void> {
    const { io, shard } = this.options;
    let revision = startRevision;
    let failures = 0;
    while (!this.isClosed) {
      const watched = await io.store.watch(createShardPrefix(shard), revision, WATCH_WAIT_MS);
      if (this.isClosed) return;
      if (watched.isErr()) {
        failures += 1;
        await this.backOff(failures);
        continue;
      }
      failures = 0;
      if (watched.value.compacted) return;
      watched.value.changes.forEach((change) => this.applyChange(change));
      revision = watched.value.revision;
    }
  }

  private applyChange({ kind, entry }: KeyValueChange): void {
    if (kind === ChangeKind.Put) this.applyEntry(entry);
    else this.remove(entry.key.slice(createShardPrefix(this.options.shard).length));
  }

  private applyEntry(entry: KeyValueEntry): void {
    const { log } = this.options;
    const stored = decodeEntry(entry);
    if (stored.isOk()) this.apply(stored.value);
    else log.write('record-unreadable', { key: entry.key, message: stored.error.message });
  }

  private backOff(failures: number): Promise<void> {
    const { timer, random } = this.options.io;
    const delay = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** failures);
    return timer.sleep(delay * (0.5 + random.next()));
  }
}
