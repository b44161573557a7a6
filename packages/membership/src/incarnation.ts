/**
 * Incarnation numbers. The high part, the epoch, grows only when a VM restarts or refutes a suspicion;
 * the low part, the version, grows when the VM's own entry changes. Without the split, a VM that can
 * send but no longer hears others would undo its own death with each new load that it reports.
 */
const VERSIONS_PER_EPOCH = 2 ** 20;
const MS_PER_SECOND = 1000;

export const epochOf = (incarnation: number): number =>
  Math.floor(incarnation / VERSIONS_PER_EPOCH);

/** Returns the first incarnation of a run; a later run starts higher as long as the clock advances. */
export const firstIncarnation = (wallClock: number): number =>
  Math.floor(wallClock / MS_PER_SECOND) * VERSIONS_PER_EPOCH;

/** Returns the first incarnation of the epoch after that of the given one. */
export const nextEpoch = (incarnation: number): number =>
  (epochOf(incarnation) + 1) * VERSIONS_PER_EPOCH;
