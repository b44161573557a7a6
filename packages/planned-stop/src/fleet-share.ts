/** How many VMs of a fleet its callers need while others are stopped. */

const NEEDED_SHARE = 0.5;

/** While fewer VMs serve, stopping ones are named to callers, and those that are named do not end yet. */
export const countWanted = (fleetVms: number): number => Math.ceil(fleetVms * NEEDED_SHARE);

/** A stopping VM ends before its time only if that many others accept callers. */
export const countEnough = (fleetVms: number): number =>
  Math.max(1, Math.floor(fleetVms * NEEDED_SHARE));
