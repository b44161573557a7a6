/** Tracks the good copies of segments and decides which disks can be lost without losing accepted work. */
import { decodeJob, JOB_PREFIX } from '@jujubelanding/batch-jobs';
import { computeChecksum } from '@jujubelanding/random';
import { HostState, type Fleet, type FleetNode } from '@jujubelanding/simulation';
import { JobStatus, type JobRecord, type SegmentReference } from '@jujubelanding/types';
import { Invariant, type Violations } from './violation.js';

/** Number of good copies with which a segment survives the loss of any one VM. */
const MIN_GOOD_COPIES = 2;

/** Time after which a repair has recorded the copies that it requested, or has given up. */
const MAX_REPAIR_MS = 15_000;

const CHECK_INTERVAL_MS = 10_000;

/** Lists the items of open chunks and the results of committed ones; other segments may be removed. */
const listRequiredSegments = ({ status, chunks }: JobRecord): SegmentReference[] =>
  chunks.flatMap(({ input, result }) => {
    if (result !== undefined) return [result];
    return status === JobStatus.Open ? [input] : [];
  });

const listReferencedSegments = ({ chunks }: JobRecord): SegmentReference[] =>
  chunks.flatMap(({ input, result }) => (result === undefined ? [input] : [input, result]));

interface SegmentWrite {
  node: FleetNode;
  reference: SegmentReference;
}

export class SegmentCopyTracker {
  /** Writes, by segment id, to which no job record refers so far; one may do so later. */
  private readonly unrecordedWrites = new Map<string, SegmentWrite[]>();

  /** Segment writes in progress. */
  private readonly writesInProgress = new Set<{ node: FleetNode }>();

  private lastRepairAt = -Infinity;

  /** Ids of segments with a copy that this run has corrupted. */
  private readonly corruptedSegments = new Set<string>();

  constructor(
    private readonly fleet: Fleet,
    private readonly violations: Violations,
  ) {}

  start(): void {
    this.fleet.timer.every(CHECK_INTERVAL_MS, () => this.checkRecoverable());
  }

  /** Tracks the segment writes of an entry VM. Must run after mutations are applied, to see their effect. */
  watchNode(node: FleetNode): void {
    const { segments, jobOwner } = node.entryVm.components;
    const write = segments.write.bind(segments);
    segments.write = async (content) => {
      const entry = { node };
      this.writesInProgress.add(entry);
      const written = await write(content);
      this.writesInProgress.delete(entry);
      if (written.isOk()) this.recordWrite({ node, reference: written.value });
      return written;
    };
    const requestCopy = segments.requestCopy.bind(segments);
    segments.requestCopy = (holder, request) => {
      this.lastRepairAt = this.fleet.timer.now();
      return requestCopy(holder, request);
    };
    const completeChunk = jobOwner.completeChunk.bind(jobOwner);
    jobOwner.completeChunk = async (completion) => {
      const reply = await completeChunk(completion);
      // The result is in the record now, or never will be.
      if (reply.isOk()) this.unrecordedWrites.delete(completion.result.id);
      return reply;
    };
  }

  /** Returns true when accepted work survives the loss of these disks, whatever is in progress. */
  canLoseDisks(entryVmIds: readonly string[]): boolean {
    const isWriting = [...this.writesInProgress].some(
      ({ node }) => node.host.state() !== HostState.Crashed,
    );
    const isRepairing = this.fleet.timer.now() - this.lastRepairAt < MAX_REPAIR_MS;
    if (isWriting || isRepairing) return false;
    const jobs = this.listJobs();
    jobs.flatMap(listReferencedSegments).forEach(({ id }) => this.unrecordedWrites.delete(id));
    const references = [
      ...jobs.flatMap(listRequiredSegments),
      ...[...this.unrecordedWrites.values()]
        .flat()
        .filter(({ node }) => node.host.state() !== HostState.Crashed)
        .map(({ reference }) => reference),
    ];
    return references.every((reference) =>
      this.listGoodCopies(reference).some(
        (id) => !entryVmIds.includes(id) && this.fleet.node(id).host.state() === HostState.Running,
      ),
    );
  }

  recordCorruption(segmentId: string): void {
    this.corruptedSegments.add(segmentId);
  }

  /** The run never removes the last good copy, so a required segment without one is a violation. */
  checkRecoverable(): void {
    this.listJobs().forEach((job) =>
      listRequiredSegments(job)
        .filter((reference) => this.listGoodCopies(reference).length === 0)
        .forEach((reference) => {
          const detail = `segment ${reference.id} on ${reference.copies.join()} has no good copy`;
          this.violations.report(Invariant.Recoverable, job.id, detail);
        }),
    );
  }

  /** Checks that required segments have enough good copies again after the faults have ended. */
  checkRepaired(): void {
    this.listJobs().forEach((job) =>
      listRequiredSegments(job)
        .filter(({ id }) => !this.corruptedSegments.has(id))
        .forEach((reference) => {
          const count = this.listGoodCopies(reference).length;
          if (count >= MIN_GOOD_COPIES) return;
          const detail = `segment ${reference.id} on ${reference.copies.join()} has ${count} good copies`;
          this.violations.report(Invariant.CopiesRepaired, job.id, detail);
        }),
    );
  }

  private recordWrite(segmentWrite: SegmentWrite): void {
    const { reference } = segmentWrite;
    const goodCopies = this.listGoodCopies(reference);
    if (goodCopies.length < reference.copies.length) {
      const detail = `the segment is stored on ${goodCopies.join()} instead of ${reference.copies.join()}`;
      this.violations.report(Invariant.CopiesStored, reference.id, detail);
    }
    const earlierWrites = this.unrecordedWrites.get(reference.id) ?? [];
    this.unrecordedWrites.set(reference.id, [...earlierWrites, segmentWrite]);
  }

  /** Lists the entry VMs whose copy of a segment matches the checksum. */
  private listGoodCopies({ id, copies }: SegmentReference): string[] {
    return copies.filter((entryVmId) => {
      const content = this.fleet.nodes.get(entryVmId)?.disk?.peek(`segments/${id}`);
      return content !== undefined && computeChecksum(content) === id;
    });
  }

  private listJobs(): JobRecord[] {
    const { state } = this.fleet.keyValue;
    const jobs: JobRecord[] = [];
    for (let afterKey: string | undefined; ;) {
      const { entries } = state.list(JOB_PREFIX, 100, afterKey);
      if (entries.length === 0) return jobs;
      entries.forEach(({ key, value }) => {
        const job = decodeJob(value);
        if (job.isOk()) jobs.push(job.value);
        else this.violations.report(Invariant.Recoverable, key, job.error.message);
      });
      afterKey = entries.at(-1)!.key;
    }
  }
}
