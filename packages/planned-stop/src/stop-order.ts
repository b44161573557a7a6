/** Order in which the VMs that stop together end. */

/** A VM that is being stopped. */
export interface StoppingVm {
  entryVmId: string;
  /** Time at which its stop began. */
  since: number;
  /**
   * The same on its own wall clock, in epoch milliseconds. VMs learn of stops at different times; only this
   * value is the same on all of them, so that they come to the same order.
   */
  stoppedAt: number;
}

/** Returns a negative number if `a` ends before `b`. */
export const compareStops = (a: StoppingVm, b: StoppingVm): number =>
  a.stoppedAt - b.stoppedAt || (a.entryVmId < b.entryVmId ? -1 : 1);
