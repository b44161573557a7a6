/** Scheduling decisions as pure functions: chooses the chunks to grant and evaluates progress reports. */
import type { ChunkRequest } from '@jujubelanding/peer-protocol';
import { JobControl, type JobChunk, type JobRecord } from '@jujubelanding/types';
import { formatTarget } from './keys.js';

/** A chunk that an executor is processing. */
export interface Grant {
  grantId: string;
  executorId: string;
  /** Monotonic time after which the chunk may be granted again. */
  deadline: number;
}

/** An open job with the scheduling state that its owner keeps in memory. */
export interface OpenJob {
  record: JobRecord;
  revision: number;
  /** Latest grant of each chunk, by chunk index. */
  grants: Map<number, Grant>;
  /** Chunks whose results are stored but not committed yet. */
  finished: Set<number>;
  /** Monotonic time before which no chunk is granted, so that a new owner learns of running grants first. */
  grantableFrom: number;
  /** True when the record has changed but could not be read yet. */
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

/** Two missed progress reports at an interval of 1 s, plus one second for a slow network. */
export const GRANT_TIMEOUT_MS = 3000;
const MAX_GRANTS_PER_REQUEST = 8;

const isGranted = (job: OpenJob, chunk: number, now: number): boolean => {
  const grant = job.grants.get(chunk);
  return grant !== undefined && grant.deadline > now;
};

const findFreeChunk = (
  job: OpenJob,
  chosenChunks: ReadonlySet<JobChunk>,
  now: number,
): JobChunk | undefined =>
  job.record.chunks.find(
    (chunk) =>
      chunk.result === undefined &&
      !chosenChunks.has(chunk) &&
      !job.finished.has(chunk.index) &&
      !isGranted(job, chunk.index, now),
  );

/** Returns true while the job has a chunk that may be granted. */
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

/** Returns a chunk of the earliest due job of the team with the smallest share; expects jobs in due order. */
const chooseNext = (
  jobs: readonly OpenJob[],
  chosenChunks: ReadonlySet<JobChunk>,
  share: (team: string) => number,
  now: number,
): ChunkChoice | undefined => {
  let best: ChunkChoice | undefined;
  for (const job of jobs) {
    const isBetter = best === undefined || share(job.record.team) < share(best.job.record.team);
    const chunk = isBetter ? findFreeChunk(job, chosenChunks, now) : undefined;
    if (chunk !== undefined) best = { job, chunk };
  }
  return best;
};

/**
 * Chooses chunks until their items cover the idle slots. The team with the fewest items in progress
 * relative to its weight comes first. Within a team, jobs are served in the order of their due times.
 */
export const chooseChunks = (
  jobs: Iterable<OpenJob>,
  request: Pick<ChunkRequest, 'models' | 'slots'>,
  policy: SchedulePolicy,
  now: number,
): ChunkChoice[] => {
  const targets = new Set(request.models);
  const itemsInProgress = new Map<string, number>();
  const eligible: OpenJob[] = [];
  for (const job of jobs) {
    const { team } = job.record;
    itemsInProgress.set(team, (itemsInProgress.get(team) ?? 0) + countItemsInProgress(job, now));
    if (isEligible(job, targets, policy, now)) eligible.push(job);
  }
  eligible.sort(compareJobs);
  const chosen: ChunkChoice[] = [];
  const chosenChunks = new Set<JobChunk>();
  const share = (team: string): number =>
    itemsInProgress.get(team)! / Math.max(policy.weightOf(team), 1e-6);
  let remainingSlots = request.slots;
  while (remainingSlots > 0 && chosen.length < MAX_GRANTS_PER_REQUEST) {
    const choice = chooseNext(eligible, chosenChunks, share, now);
    if (choice === undefined) break;
    const { team } = choice.job.record;
    chosen.push(choice);
    chosenChunks.add(choice.chunk);
    remainingSlots -= choice.chunk.itemCount;
    itemsInProgress.set(team, itemsInProgress.get(team)! + choice.chunk.itemCount);
  }
  return chosen;
};

/** Evaluates a progress report for a chunk. Returns the extended grant, or undefined to stop the chunk. */
export const extendGrant = (
  job: OpenJob,
  chunk: number,
  report: { grantId: string; executorId: string },
  policy: SchedulePolicy,
  now: number,
): Grant | undefined => {
  const jobChunk = job.record.chunks[chunk];
  if (jobChunk === undefined || jobChunk.result !== undefined || job.isSuspended) return undefined;
  if (policy.controlOf(job.record.jobClass) !== JobControl.Running) return undefined;
  const current = job.grants.get(chunk);
  const isOtherGrant = current !== undefined && current.grantId !== report.grantId;
  if (isOtherGrant && current.deadline > now) return undefined;
  // Also extends a grant that has timed out, or that is unknown because an earlier owner made it,
  // unless another grant of the chunk is still valid.
  return { ...report, deadline: now + GRANT_TIMEOUT_MS };
};
