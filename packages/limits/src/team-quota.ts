/** Token bucket that keeps the requests of a team within the window rule, and its equal shares. */

/** Sliding window within which the requests of a team are bounded. */
const WINDOW_SECONDS = 5;

/** Fraction and number of requests by which a window may exceed rate x window + burst. */
const WINDOW_TOLERANCE = 0.1;
const WINDOW_SLACK = 20;

/**
 * Use of what the window rule allows beyond the limit. One part deepens the bucket, because most teams
 * have a burst of a few requests, and another one fills the bucket of a new owner. The rest covers
 * requests that the owner does not know yet.
 */
const DEPTH_FRACTION = 0.45;
const START_FRACTION = 0.12;

/**
 * Part of it with which an owner starts if the whole fleet is young. Requests before the restart used at most
 * the depth and the rate, and nothing was admitted while all VMs were down.
 */
const YOUNG_START_FRACTION = 0.5;

/**
 * Between the end of all former processes and the start of the first new one; 0.5 s were measured. Without
 * these tokens, 0.31 to 0.62% of the requests below the limit were refused in the 5 s after a restart.
 */
const MIN_DOWN_SECONDS = 0.2;

/** Part of it that a VM may admit before the owner is known, while the fleet starts. */
const YOUNG_FIRST_FRACTION = 0.15;

/** Limit of a team across all entry VMs. */
export interface RateBounds {
  requestsPerSecond: number;
  burst: number;
}

export interface TeamQuota {
  /** Tokens per second. */
  rate: number;
  /** Maximum number of tokens. */
  depth: number;
  /** Tokens of an owner or VM that does not know the usage of the last window. */
  start: number;
  /** Tokens of an owner that knows that the whole fleet is young. */
  youngStart: number;
}

/** Registered entry VMs, seen by one of them. */
export interface FleetView {
  /** All registered VMs, including this one, in the same order on all VMs. */
  vmCount: number;
  /** Position of this VM in that order. */
  position: number;
  /** Positions in that order of the VMs that are not heard from. */
  silent: readonly number[];
  /** Start of the oldest run if all runs of the fleet are younger than the window. */
  youngSince?: number;
}

const computeSlack = ({ requestsPerSecond, burst }: RateBounds): number =>
  WINDOW_TOLERANCE * (requestsPerSecond * WINDOW_SECONDS + burst) + WINDOW_SLACK;

/** Returns the requests that a VM may admit in a starting fleet before the owner knows of them. */
export const computeYoungFirst = (bounds: RateBounds): number =>
  Math.floor(YOUNG_FIRST_FRACTION * computeSlack(bounds));

export const computeQuota = (bounds: RateBounds): TeamQuota => {
  const { requestsPerSecond, burst } = bounds;
  const slack = computeSlack(bounds);
  return {
    rate: requestsPerSecond,
    depth: Math.floor(burst + DEPTH_FRACTION * slack),
    start: Math.floor(START_FRACTION * slack),
    youngStart: Math.floor(YOUNG_START_FRACTION * slack + requestsPerSecond * MIN_DOWN_SECONDS),
  };
};

/** Returns a part in whole tokens, so that the parts of all positions add up to the total. */
const divideTokens = (total: number, position: number, vmCount: number): number =>
  Math.floor(total / vmCount) + (position < total % vmCount ? 1 : 0);

/**
 * Returns the equal share of one VM. A VM admits whole requests only, so if there are fewer tokens than
 * VMs, some VMs have no share. `offset` makes these different VMs for each team.
 */
export const computeEqualShare = (
  { rate, depth, start, youngStart }: TeamQuota,
  position: number,
  vmCount: number,
  offset: number,
): TeamQuota => {
  const rotated = (position + offset) % vmCount;
  const ownDepth = divideTokens(depth, rotated, vmCount);
  return {
    rate: ownDepth === 0 ? 0 : rate / Math.min(vmCount, depth),
    depth: ownDepth,
    start: divideTokens(start, rotated, vmCount),
    youngStart: divideTokens(youngStart, rotated, vmCount),
  };
};

/** Returns what an owner may grant: all but the equal shares of the VMs that are not heard from. */
export const computeOwnerQuota = (
  quota: TeamQuota,
  { vmCount, silent }: Pick<FleetView, 'vmCount' | 'silent'>,
  offset: number,
): TeamQuota => {
  const remaining = { ...quota };
  for (const position of silent) {
    const share = computeEqualShare(quota, position, vmCount, offset);
    remaining.rate -= share.rate;
    remaining.depth -= share.depth;
    remaining.start -= share.start;
    remaining.youngStart -= share.youngStart;
  }
  return { ...remaining, rate: Math.max(0, remaining.rate) };
};
