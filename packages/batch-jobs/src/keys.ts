/** Job ids, and the keys of jobs in the key-value service. */
import { computeChecksum, computeShard } from '@jujubelanding/random';

const JOB_ID_LENGTH = 32;

/** Derives the job id from the idempotency key, so that a resent job resolves to the first one. */
export const createJobId = (team: string, idempotencyKey: string): string =>
  computeChecksum(JSON.stringify([team, idempotencyKey])).slice(0, JOB_ID_LENGTH);

/** Key prefix of all job records, followed by the shard number. */
export const JOB_PREFIX = 'jobs/';

export const createShardPrefix = (shard: number): string => `${JOB_PREFIX}${shard}/`;

export const createJobKey = (jobId: string): string =>
  `${createShardPrefix(computeShard(jobId))}${jobId}`;

/** Key prefix of a team's job index. An entry without a job record belongs to a refused submission. */
export const createTeamPrefix = (team: string): string => `job-index/${encodeURIComponent(team)}/`;

export const createTeamKey = (team: string, jobId: string): string =>
  `${createTeamPrefix(team)}${jobId}`;

/** Formats a model and its adapter as an entry of the `models` in a chunk request. */
export const formatTarget = (model: string, adapter?: string): string =>
  adapter === undefined ? model : `${model}@${adapter}`;
