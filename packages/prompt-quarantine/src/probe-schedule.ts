/** Decides when a blocked combination of parts is tried again with a single request. Times are passed in. */

/**
 * Times from a block, and from each probe, to the next probe. Workers that crashed together are back after
 * some seconds, which the first two probes cover. A dangerous part crashes one more worker at each probe, so
 * the others are far apart.
 */
const PROBE_DELAYS_MS = [2000, 8000, 120_000, 300_000];

/** VMs that do not rank first wait this long for each one before them, so that few of them compete. */
const RANK_DELAY_MS = 100;

const MAX_RANK_DELAY_MS = 1000;

/** A VM keeps a reserved probe for this long after the last request that could use it. */
const DEMAND_LIFETIME_MS = 2000;

export interface ProbeState {
  /** Number of probes so far, with the one that is reserved. */
  count: number;
  /** Time of the last probe or, before the first one, of the block. */
  since: number;
  /** Time of the last request on this VM that the block refused, or that could be the probe. */
  wantedAt: number;
  /** True if this VM may send the next request to which the block applies. */
  isReserved: boolean;
}

export enum ProbeStep {
  Wait = 'wait',
  /** Reserves the next probe for this VM. */
  Reserve = 'reserve',
  /** Leaves a reserved probe to the other VMs. */
  Return = 'return',
}

export const createProbeState = (now: number, count = 0): ProbeState => ({
  count,
  since: now,
  wantedAt: -Infinity,
  isReserved: false,
});

/** Time until any VM may reserve the next probe. */
export const computeProbeDelayMs = ({ count, since }: ProbeState, now: number): number => {
  const delayMs = PROBE_DELAYS_MS[Math.min(count, PROBE_DELAYS_MS.length - 1)]!;
  return Math.max(0, since + delayMs - now);
};

/** The rank of this VM is read only if a probe is due, since it is compared with all VMs. */
export const decideProbe = (state: ProbeState, readRank: () => number, now: number): ProbeStep => {
  const isWanted = now - state.wantedAt <= DEMAND_LIFETIME_MS;
  if (state.isReserved) return isWanted ? ProbeStep.Wait : ProbeStep.Return;
  if (!isWanted || computeProbeDelayMs(state, now) > 0) return ProbeStep.Wait;
  const rankDelayMs = Math.min(MAX_RANK_DELAY_MS, readRank() * RANK_DELAY_MS);
  return computeProbeDelayMs(state, now - rankDelayMs) > 0 ? ProbeStep.Wait : ProbeStep.Reserve;
};
