/** Checks that entry VMs without the key-value service stop to dispatch batch items. */
import type { Fleet, FleetNode } from '@jujubelanding/simulation';
import { Reach } from './reach.js';
import { Invariant, type Violations } from './violation.js';

/** Lease of 6 s less the margin of 1.5 s, counted from a renewal sent before the cut. */
const LEASE_MS = 4500;

export class LeaseCheck {
  private readonly reach: Reach;

  constructor(
    fleet: Fleet,
    private readonly violations: Violations,
  ) {
    this.reach = new Reach(fleet, ({ store }) => [fleet.keyValue.faults, store.faults]);
  }

  start(): void {
    this.reach.start();
  }

  checkBatchDispatch(node: FleetNode, workerId: string): void {
    const cutMs = this.reach.cutForMs(node);
    if (cutMs <= LEASE_MS) return;
    const detail = `dispatch to ${workerId} ${Math.round(cutMs)} ms after it was cut off`;
    this.violations.report(Invariant.DispatchWithLease, node.host.id, detail);
  }
}
