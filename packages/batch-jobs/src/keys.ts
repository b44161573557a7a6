/** Ids of jobs and their keys in the key-value service. */
import { computeChecksum, findShard } from '@jujubelanding/random';

const JOB_ID_LENGTH = 32;

/** Derives the job id, so that a job resent under the same key resolves to the first one. */
export const createJobId = (team: string, idempotencyKey: string): string =>
  computeChecksum(JSON.stringify([team, idempotencyKey])).slice(0, JOB_ID_LENGTH);

/** All job records; the shard number follows. */
export const JOB_PREFIX = 'jobs/';

export const createShardPrefix = (shard: number): string => `${JOB_PREFIX}${shard}/`;

export const createJobKey = (jobId: string): string =>
  `${createShardPrefix(findShard(jobId))}${jobId}`;

/** Lists the jobs of a team; an entry without job record is left over from a refused submission. */
export const createTeamPrefix = (team: string): string => `job-index/${encodeURIComponent(team)}/`;

export const createTeamKey = (team: string, jobId: string): string =>
  `${createTeamPrefix(team)}${jobId}`;

/** Names what a worker must have loaded, as listed in the `models` of a chunk request. */
export const formatTarget = (model: string, adapter?: string): string =>
  adapter === undefined ? model : `${model}@${adapter}`;
