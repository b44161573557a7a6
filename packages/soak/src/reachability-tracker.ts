/** Tracks how long each entry VM has been able, or unable, to reach a service. */
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
    /** Lists the link faults between an entry VM and the service. */
    private readonly listLinkFaults: (node: FleetNode) => readonly LinkFaults[],
  ) {}

  start(): void {
    this.fleet.timer.every(CHECK_INTERVAL_MS, () => this.sample());
  }

  /** Returns how long the service has been unreachable from the entry VM; 0 while it is reachable. */
  getUnreachableMs(node: FleetNode): number {
    const state = this.stateByNode.get(node);
    // The last sample may be up to `CHECK_INTERVAL_MS` old.
    return state === undefined || state.isReachable || this.isReachable(node)
      ? 0
      : this.fleet.timer.now() - state.since;
  }

  /** Returns how long the service has been reachable from the entry VM; 0 while it is not. */
  getReachableMs(node: FleetNode): number {
    const state = this.stateByNode.get(node);
    return state?.isReachable === true && this.isReachable(node)
      ? this.fleet.timer.now() - state.since
      : 0;
  }

  private isReachable(node: FleetNode): boolean {
    return this.listLinkFaults(node).every(({ reachability }) => reachability === Reachability.Up);
  }

  private sample(): void {
    const now = this.fleet.timer.now();
    this.fleet.nodes.forEach((node) => {
      const isReachable = this.isReachable(node);
      if (this.stateByNode.get(node)?.isReachable !== isReachable) {
        this.stateByNode.set(node, { isReachable, since: now });
      }
    });
  }
}
