/**
 * Incarnation numbers. The high part, the epoch, increases only when a VM restarts or refutes a
 * suspicion; the low part, the version, increases when the VM's own entry changes. With a single
 * number, a VM that can send but not receive would revert its own death with each load it reports.
 */
const VERSIONS_PER_EPOCH = 2 ** 20;
const MS_PER_SECOND = 1000;

export const getEpoch = (incarnation: number): number =>
  Math.floor(incarnation / VERSIONS_PER_EPOCH);

/** Returns the first incarnation of a run; later runs start higher as long as the clock advances. */
export const computeFirstIncarnation = (wallClock: number): number =>
  Math.floor(wallClock / MS_PER_SECOND) * VERSIONS_PER_EPOCH;

/** Returns the first incarnation of the next epoch. */
export const computeNextEpoch = (incarnation: number): number =>
  (getEpoch(incarnation) + 1) * VERSIONS_PER_EPOCH;
