/** How long entry VMs have reached a service, or have not, without interruption. */
import type { Fleet, FleetNode } from '@jujubelanding/simulation';
import type { LinkFaults } from '@jujubelanding/stand-ins';
import { Reachability } from '@jujubelanding/stand-ins';

const CHECK_INTERVAL_MS = 50;

interface ReachabilityState {
  isReachable: boolean;
  since: number;
}

export class ReachabilityTracker {
  private readonly stateByNode = new Map<FleetNode, ReachabilityState>();

  constructor(
    private readonly fleet: Fleet,
    /** Faults on the way from an entry VM to the service. */
    private readonly listLinkFaults: (node: FleetNode) => readonly LinkFaults[],
  ) {}

  start(): void {
    this.fleet.timer.every(CHECK_INTERVAL_MS, () => this.sample());
  }

  /** Time since the entry VM last reached the service; 0 while it does. */
  getUnreachableMs(node: FleetNode): number {
    const contact = this.stateByNode.get(node);
    // The last sample is up to an interval old.
    return contact === undefined || contact.isReachable || this.isReachable(node)
      ? 0
      : this.fleet.timer.now() - contact.since;
  }

  /** Time for which the entry VM has reached the service; 0 while it does not. */
  getReachableMs(node: FleetNode): number {
    const contact = this.stateByNode.get(node);
    return contact?.isReachable === true && this.isReachable(node)
      ? this.fleet.timer.now() - contact.since
      : 0;
  }

  private isReachable(node: FleetNode): boolean {
    return this.listLinkFaults(node).every(({ reachability }) => reachability === Reachability.Up);
  }

  private sample(): void {
    const now = this.fleet.timer.now();
    this.fleet.nodes.forEach((node) => {
      const isUp = this.isReachable(node);
      if (this.stateByNode.get(node)?.isReachable !== isUp) {
        this.stateByNode.set(node, { isReachable: isUp, since: now });
      }
    });
  }
}
