/** Restores the number of good segment copies of owned jobs after VMs with a disk were lost. */
import type { Reply } from '@jujubelanding/errors';
import type { EntryVmIo, EntryVmSettings, Membership } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { CopyRequest } from '@jujubelanding/peer-protocol';
import { chooseCopyTarget, listDiskMembers } from '@jujubelanding/segments';
import type { Subscription } from '@jujubelanding/timer';
import type { JobRecord, Member, SegmentReference } from '@jujubelanding/types';
import type { JobRecords, StoredJob } from './job-records.js';
import { updateJob } from './update-job.js';
import { listHolders, type ShardJobs } from './shard-jobs.js';

const CHECK_INTERVAL_MS = 5000;
/** Long enough for a restarted daemon to return with its disk. */
const HOLDER_LOSS_TIMEOUT_MS = 30_000;
/** Limits 64 owners that repair at the same time to 640 record reads a second. */
const JOB_PAUSE_MS = 100;
/** Limits an audit to 20 calls a second, about 3% of a core. */
const AUDIT_PAUSE_MS = 50;

/** Asks a VM to store a copy of a segment. */
export type RequestCopy = (holder: string, request: CopyRequest) => Reply<Record<string, never>>;

export interface CopyRepairOptions {
  io: Pick<EntryVmIo, 'timer'>;
  settings: Pick<EntryVmSettings, 'segmentCopies'>;
  membership: Membership;
  segments: { requestCopy: RequestCopy };
  log: Log;
  records: JobRecords;
  listShards: () => ShardJobs[];
}

/** Repaired references by segment id. */
type Replacements = Map<string, SegmentReference>;

/** Replaces references to the given segments; undefined when the record no longer has any. */
const replaceCopies = (
  record: JobRecord,
  replacements: Replacements,
  fence: number,
): JobRecord | undefined => {
  let isChanged = false;
  const replace = (segment: SegmentReference): SegmentReference => {
    const replacement = replacements.get(segment.id);
    if (replacement === undefined) return segment;
    isChanged = true;
    return replacement;
  };
  const chunks = record.chunks.map((chunk) => ({
    ...chunk,
    input: replace(chunk.input),
    ...(chunk.result === undefined ? {} : { result: replace(chunk.result) }),
  }));
  return isChanged ? { ...record, chunks, fence: Math.max(fence, record.fence) } : undefined;
};

const listSegments = (record: JobRecord): SegmentReference[] =>
  record.chunks.flatMap(({ input, result }) => (result === undefined ? [input] : [input, result]));

export class CopyRepair {
  private subscription: Subscription | undefined;

  /** Monotonic time at which each absent holder was first found missing. */
  private readonly missingSince = new Map<string, number>();

  /** Boot id last seen of each VM with a disk. */
  private readonly bootIds = new Map<string, string>();

  /** Holders whose copies must be verified, because they restarted or a verification failed. */
  private readonly unverifiedHolders = new Set<string>();

  private isRepairing = false;

  /** Jobs verified since the shard was gained: once while open and once after they ended. */
  private readonly audited = new WeakMap<ShardJobs, Set<string>>();

  private isAuditing = false;

  constructor(private readonly options: CopyRepairOptions) {}

  start(): void {
    this.subscription = this.options.io.timer.every(CHECK_INTERVAL_MS, () => {
      void this.repair();
      void this.audit();
    });
  }

  stop(): void {
    this.subscription?.cancel();
  }

  /** Repairs, one at a time, all jobs with copies on VMs that were lost or have restarted. */
  async repair(): Promise<void> {
    if (this.isRepairing) return;
    this.isRepairing = true;
    const members = listDiskMembers(this.options.membership.members());
    const lost = this.findLostHolders(members);
    const unverified = this.takeUnverifiedHolders(members);
    if (lost.size > 0 || unverified.size > 0) {
      for (const jobs of this.options.listShards()) await this.repairShard(jobs, lost, unverified);
    }
    this.isRepairing = false;
  }

  /**
   * Verifies the copies of jobs that this owner has not verified yet. A holder may have restarted
   * unnoticed before this VM owned the shard, or after the copies were stored but before the job was
   * recorded.
   */
  private async audit(): Promise<void> {
    if (this.isAuditing) return;
    this.isAuditing = true;
    for (const jobs of this.options.listShards()) {
      if (jobs.loaded) await this.auditShard(jobs);
    }
    this.isAuditing = false;
  }

  private async auditShard(jobs: ShardJobs): Promise<void> {
    const audited = this.audited.get(jobs) ?? new Set<string>();
    this.audited.set(jobs, audited);
    const states = [
      ...[...jobs.open.keys()].map((id) => ({ id, key: `open/${id}` })),
      ...[...jobs.ended.keys()].map((id) => ({ id, key: `ended/${id}` })),
    ];
    for (const { id, key } of states.filter((state) => !audited.has(state.key))) {
      if (!jobs.isOwned()) return;
      const stored = await this.options.records.read(id);
      if (stored.isErr()) return;
      if (stored.value !== undefined) await this.verifyReachableCopies(stored.value.record);
      audited.add(key);
    }
  }

  /** Verifies the copies on all VMs that are present; `repair` handles the missing ones. */
  private async verifyReachableCopies(record: JobRecord): Promise<void> {
    const members = listDiskMembers(this.options.membership.members());
    const present = new Set(members.map(({ entryVmId }) => entryVmId));
    await this.verifyCopies(record, present, AUDIT_PAUSE_MS);
  }

  private findLostHolders(members: readonly Member[]): Set<string> {
    const now = this.options.io.timer.now();
    const present = new Set(members.map(({ entryVmId }) => entryVmId));
    const holders = new Set<string>();
    this.options.listShards().forEach((jobs) => {
      jobs.open.forEach((job) => listHolders(job).forEach((holder) => holders.add(holder)));
      jobs.ended.forEach((job) => job.holders.forEach((holder) => holders.add(holder)));
    });
    present.forEach((holder) => this.missingSince.delete(holder));
    const lost = new Set<string>();
    holders.forEach((holder) => {
      if (present.has(holder)) return;
      if (!this.missingSince.has(holder)) this.missingSince.set(holder, now);
      if (now - this.missingSince.get(holder)! >= HOLDER_LOSS_TIMEOUT_MS) lost.add(holder);
    });
    return lost;
  }

  /** Returns and clears the holders to verify; a VM with a new boot id may have lost its disk. */
  private takeUnverifiedHolders(members: readonly Member[]): Set<string> {
    members.forEach(({ entryVmId, bootId }) => {
      const lastBootId = this.bootIds.get(entryVmId);
      if (lastBootId !== undefined && lastBootId !== bootId) this.unverifiedHolders.add(entryVmId);
      this.bootIds.set(entryVmId, bootId);
    });
    const unverified = new Set(this.unverifiedHolders);
    this.unverifiedHolders.clear();
    return unverified;
  }

  private async repairShard(
    jobs: ShardJobs,
    lost: ReadonlySet<string>,
    unverified: ReadonlySet<string>,
  ): Promise<void> {
    const needsRepair = (holders: ReadonlySet<string>): boolean =>
      [...holders].some((holder) => lost.has(holder) || unverified.has(holder));
    const ids = [
      ...[...jobs.open.values()]
        .filter((job) => needsRepair(listHolders(job)))
        .map((job) => job.record.id),
      ...[...jobs.ended.values()].filter((job) => needsRepair(job.holders)).map((job) => job.id),
    ];
    for (const id of ids) {
      if (!jobs.isOwned()) return;
      await this.options.io.timer.sleep(JOB_PAUSE_MS);
      const stored = await this.options.records.read(id);
      if (stored.isErr() || stored.value === undefined) continue;
      await this.verifyCopies(stored.value.record, unverified);
      await this.replaceLost(jobs, stored.value, lost);
    }
  }

  private async verifyCopies(
    record: JobRecord,
    unverified: ReadonlySet<string>,
    pauseMs = 0,
  ): Promise<void> {
    for (const segment of listSegments(record)) {
      for (const holder of segment.copies.filter((copy) => unverified.has(copy))) {
        if (pauseMs > 0) await this.options.io.timer.sleep(pauseMs);
        const sources = segment.copies.filter((copy) => copy !== holder);
        const requested = await this.options.segments.requestCopy(holder, {
          segmentId: segment.id,
          sources,
        });
        if (requested.isErr()) {
          const { message } = requested.error;
          this.options.log.write('copy-missing', { segment: segment.id, holder, message });
          this.unverifiedHolders.add(holder);
        }
      }
    }
  }

  private async replaceLost(
    jobs: ShardJobs,
    stored: StoredJob,
    lost: ReadonlySet<string>,
  ): Promise<void> {
    const replacements: Replacements = new Map();
    for (const segment of listSegments(stored.record)) {
      if (!segment.copies.some((copy) => lost.has(copy))) continue;
      const repaired = await this.repairSegment(segment, lost);
      if (repaired !== undefined) replacements.set(segment.id, repaired);
    }
    if (replacements.size === 0) return;
    const updated = await updateJob(
      this.options.records,
      stored,
      (record) => replaceCopies(record, replacements, jobs.fence),
      () => jobs.isOwned(),
    );
    if (updated.isOk() && updated.value !== undefined) jobs.apply(updated.value);
    const job = stored.record.id;
    this.options.log.write('copies-repaired', { job, segments: replacements.size });
  }

  private async repairSegment(
    segment: SegmentReference,
    lost: ReadonlySet<string>,
  ): Promise<SegmentReference | undefined> {
    const { membership, segments, settings, log } = this.options;
    const remainingCopies = segment.copies.filter((copy) => !lost.has(copy));
    const members = listDiskMembers(membership.members());
    const holders = members.filter(({ entryVmId }) => remainingCopies.includes(entryVmId));
    let candidates = members;
    while (holders.length < settings.segmentCopies) {
      const target = chooseCopyTarget(segment.id, candidates, holders);
      if (target === undefined) break;
      candidates = candidates.filter((member) => member !== target);
      const { entryVmId } = target;
      const requested = await segments.requestCopy(entryVmId, {
        segmentId: segment.id,
        sources: remainingCopies,
      });
      if (requested.isErr()) {
        const { message } = requested.error;
        log.write('copy-failed', { segment: segment.id, target: entryVmId, message });
      } else {
        holders.push(target);
      }
    }
    const present = [
      ...new Set([...remainingCopies, ...holders.map(({ entryVmId }) => entryVmId)]),
    ];
    // A lost VM may return, so the record keeps its copy until there are enough others.
    const missing = Math.max(0, settings.segmentCopies - present.length);
    const copies = [
      ...present,
      ...segment.copies.filter((copy) => lost.has(copy)).slice(0, missing),
    ];
    const isSame = copies.every((copy) => segment.copies.includes(copy));
    return isSame ? undefined : { ...segment, copies };
  }
}
