/** Order in which the VMs that stop together end; each VM determines it for itself. */

/** VMs whose stops began within this time are ordered by id, as each VM learns of stops a little late. */
const SAME_TIME_MS = 250;

export interface StoppingVm {
  entryVmId: string;
  /** Time at which it began to stop. */
  since: number;
}

/** Returns a negative number if `a` ends before `b`. */
export const compareStops = (a: StoppingVm, b: StoppingVm): number => {
  const difference = a.since - b.since;
  if (Math.abs(difference) > SAME_TIME_MS) return difference;
  return a.entryVmId < b.entryVmId ? -1 : 1;
};
