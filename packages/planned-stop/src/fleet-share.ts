const ENOUGH_SHARE = 0.5;

/**
 * Returns how many VMs of a fleet are enough for its callers. With fewer serving, stopping VMs are named to
 * callers, and a stopping VM ends early only if that many others accept callers.
 */
export const countEnough = (fleetVms: number): number =>
  Math.max(1, Math.floor(fleetVms * ENOUGH_SHARE));
