/** Pure choice of the chunks to grant and verdicts on grants. */
import type { ChunkRequest } from '@jujubelanding/peer-protocol';
import { JobControl, type JobChunk, type JobRecord } from '@jujubelanding/types';
import { formatTarget } from './keys.js';

/** A chunk in work at an executor. */
export interface Grant {
  grantId: string;
  executorId: string;
  /** Monotonic time after which the chunk is granted again. */
  deadline: number;
}

export interface OpenJob {
  record: JobRecord;
  revision: number;
  /** Grants by chunk. */
  grants: Map<number, Grant>;
  /** Chunks with a result that is not yet durable. */
  finished: Set<number>;
  /** Monotonic time before which nothing is granted, so that a new owner learns of running grants. */
  grantableFrom: number;
  /** True when the record is known to have changed and could not be read yet. */
  isSuspended: boolean;
}

/** Operator settings that influence scheduling. */
export interface SchedulePolicy {
  weightOf(team: string): number;
  controlOf(jobClass: string | undefined): JobControl;
}

export interface ChunkChoice {
  job: OpenJob;
  chunk: JobChunk;
}

/** Two progress rounds of 1 s without contact, and a third for a slow network. */
export const GRANT_TIMEOUT_MS = 3000;
const MAX_GRANTS_PER_REQUEST = 8;

const isGranted = (job: OpenJob, chunk: number, now: number): boolean => {
  const grant = job.grants.get(chunk);
  return grant !== undefined && grant.deadline > now;
};

const findFreeChunk = (
  job: OpenJob,
  taken: ReadonlySet<JobChunk>,
  now: number,
): JobChunk | undefined =>
  job.record.chunks.find(
    (chunk) =>
      chunk.result === undefined &&
      !taken.has(chunk) &&
      !job.finished.has(chunk.index) &&
      !isGranted(job, chunk.index, now),
  );

/** True while a chunk of the job could be granted. */
export const hasGrantableChunk = (job: OpenJob, policy: SchedulePolicy, now: number): boolean =>
  !job.isSuspended &&
  policy.controlOf(job.record.jobClass) === JobControl.Running &&
  findFreeChunk(job, new Set(), now) !== undefined;

const countItemsInProgress = (job: OpenJob, now: number): number =>
  [...job.grants]
    .filter(([chunk, grant]) => grant.deadline > now && !job.finished.has(chunk))
    .reduce((sum, [chunk]) => sum + job.record.chunks[chunk]!.itemCount, 0);

const compareJobs = (a: OpenJob, b: OpenJob): number =>
  a.record.dueAt - b.record.dueAt ||
  a.record.createdAt - b.record.createdAt ||
  (a.record.id < b.record.id ? -1 : 1);

const isEligible = (
  job: OpenJob,
  targets: ReadonlySet<string>,
  policy: SchedulePolicy,
  now: number,
): boolean =>
  !job.isSuspended &&
  job.grantableFrom <= now &&
  targets.has(formatTarget(job.record.model, job.record.adapter)) &&
  policy.controlOf(job.record.jobClass) === JobControl.Running;

/** The jobs are in due-time order, so the first job of the team with the smallest share wins. */
const chooseNext = (
  jobs: readonly OpenJob[],
  taken: ReadonlySet<JobChunk>,
  share: (team: string) => number,
  now: number,
): ChunkChoice | undefined => {
  let best: ChunkChoice | undefined;
  for (const job of jobs) {
    const isBetter = best === undefined || share(job.record.team) < share(best.job.record.team);
    const chunk = isBetter ? findFreeChunk(job, taken, now) : undefined;
    if (chunk !== undefined) best = { job, chunk };
  }
  return best;
};

/**
 * Chooses chunks until they cover the idle slots. The team with the fewest items in work relative
 * to its weight comes first; within a team, jobs are served in due-time order.
 */
export const chooseChunks = (
  jobs: Iterable<OpenJob>,
  request: Pick<ChunkRequest, 'models' | 'slots'>,
  policy: SchedulePolicy,
  now: number,
): ChunkChoice[] => {
  const targets = new Set(request.models);
  const inWork = new Map<string, number>();
  const eligible: OpenJob[] = [];
  for (const job of jobs) {
    const { team } = job.record;
    inWork.set(team, (inWork.get(team) ?? 0) + countItemsInProgress(job, now));
    if (isEligible(job, targets, policy, now)) eligible.push(job);
  }
  eligible.sort(compareJobs);
  const chosen: ChunkChoice[] = [];
  const taken = new Set<JobChunk>();
  const share = (team: string): number => inWork.get(team)! / Math.max(policy.weightOf(team), 1e-6);
  let missing = request.slots;
  while (missing > 0 && chosen.length < MAX_GRANTS_PER_REQUEST) {
    const choice = chooseNext(eligible, taken, share, now);
    if (choice === undefined) break;
    const { team } = choice.job.record;
    chosen.push(choice);
    taken.add(choice.chunk);
    missing -= choice.chunk.itemCount;
    inWork.set(team, inWork.get(team)! + choice.chunk.itemCount);
  }
  return chosen;
};

/** Judges a progress report on a chunk and extends its grant; undefined means stop. */
export const extendGrant = (
  job: OpenJob,
  chunk: number,
  report: { grantId: string; executorId: string },
  policy: SchedulePolicy,
  now: number,
): Grant | undefined => {
  const open = job.record.chunks[chunk];
  if (open === undefined || open.result !== undefined || job.isSuspended) return undefined;
  if (policy.controlOf(job.record.jobClass) !== JobControl.Running) return undefined;
  const current = job.grants.get(chunk);
  const isOther = current !== undefined && current.grantId !== report.grantId;
  if (isOther && current.deadline > now) return undefined;
  // An unknown grant was made by an earlier owner, or has timed out without being replaced.
  return { ...report, deadline: now + GRANT_TIMEOUT_MS };
};
