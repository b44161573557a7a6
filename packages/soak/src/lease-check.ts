/** Checks that entry VMs cut off from the key-value service stop dispatching batch items. */
import type { Fleet, FleetNode } from '@jujubelanding/simulation';
import { ReachabilityTracker } from './reachability-tracker.js';
import { Invariant, type Violations } from './violation.js';

/** Lease of 6 s minus the safety margin of 1.5 s, counted from a renewal sent before the cut. */
const USABLE_LEASE_MS = 4500;

export class LeaseCheck {
  private readonly storeReachability: ReachabilityTracker;

  constructor(
    fleet: Fleet,
    private readonly violations: Violations,
  ) {
    this.storeReachability = new ReachabilityTracker(fleet, ({ store }) => [
      fleet.keyValue.faults,
      store.faults,
    ]);
  }

  start(): void {
    this.storeReachability.start();
  }

  checkBatchDispatch(node: FleetNode, workerId: string): void {
    const unreachableMs = this.storeReachability.getUnreachableMs(node);
    if (unreachableMs <= USABLE_LEASE_MS) return;
    const detail = `a batch item was dispatched to ${workerId} ${Math.round(unreachableMs)} ms after the key-value service became unreachable`;
    this.violations.report(Invariant.DispatchWithLease, node.host.id, detail);
  }
}
