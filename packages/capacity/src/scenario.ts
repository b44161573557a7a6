/** Loads for which the costs are computed. */

export interface Scenario {
  name: string;
  entryVms: number;
  workers: number;
  services: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  teams: number;
  records: number;
  openJobs: number;
  itemsPerDay: number;
  itemsPerJob: number;
  configurationChangesPerDay: number;
  /** Share of requests with a claim; an assumption, the design does not specify it. */
  claimShare: number;
  /** Mean duration of a request; assumes 0.25 s to the first token and 217 tokens at 45 ms. */
  requestSeconds: number;
}

export const DESIGN: Scenario = {
  name: 'design size',
  entryVms: 410,
  workers: 600,
  services: 5,
  requestsPerSecond: 8300,
  tokensPerSecond: 1.8e6,
  teams: 7300,
  records: 7400,
  openJobs: 2000,
  itemsPerDay: 290e6,
  itemsPerJob: 145_000,
  configurationChangesPerDay: 2600,
  claimShare: 0.01,
  requestSeconds: 10,
};

const TODAY_ENTRY_VMS = 8;

/**
 * The larger of today's deployments. Values that the design gives only for its own size are scaled
 * by entry VMs.
 */
export const TODAY: Scenario = {
  ...DESIGN,
  name: 'today',
  entryVms: TODAY_ENTRY_VMS,
  workers: 17,
  services: 2,
  requestsPerSecond: (8300 / 410) * TODAY_ENTRY_VMS,
  tokensPerSecond: (1.8e6 / 410) * TODAY_ENTRY_VMS,
  teams: Math.round((7300 / 410) * TODAY_ENTRY_VMS),
  records: Math.round((7400 / 410) * TODAY_ENTRY_VMS),
  openJobs: Math.round((2000 / 410) * TODAY_ENTRY_VMS),
  itemsPerDay: (290e6 / 410) * TODAY_ENTRY_VMS,
  configurationChangesPerDay: (2600 / 410) * TODAY_ENTRY_VMS,
};

const SHARD_COUNT = 64;

/**
 * Computes the expected number of VMs that own a shard, if each VM is equally likely to own each of
 * the 64 shards.
 */
export const computeExpectedOwners = (entryVms: number): number =>
  entryVms * (1 - (1 - 1 / entryVms) ** SHARD_COUNT);

export const estimateOwners = ({ entryVms }: Scenario): number => computeExpectedOwners(entryVms);

/**
 * Estimates the teams with a request in progress or in the last 5 s on one VM, if all teams have
 * the same demand.
 */
export const estimateActiveTeams = ({
  entryVms,
  requestsPerSecond,
  requestSeconds,
  teams,
}: Scenario) => {
  const recentRequests = (requestsPerSecond / entryVms) * (requestSeconds + 5);
  return teams * (1 - Math.exp(-recentRequests / teams));
};
