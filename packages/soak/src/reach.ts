/** How long entry VMs have reached a service, or have not, without interruption. */
import type { Fleet, FleetNode } from '@jujubelanding/simulation';
import type { LinkFaults } from '@jujubelanding/stand-ins';
import { Reachability } from '@jujubelanding/stand-ins';

const CHECK_INTERVAL_MS = 50;

interface Contact {
  isUp: boolean;
  since: number;
}

export class Reach {
  private readonly contacts = new Map<FleetNode, Contact>();

  constructor(
    private readonly fleet: Fleet,
    /** Faults on the way from an entry VM to the service. */
    private readonly listFaults: (node: FleetNode) => readonly LinkFaults[],
  ) {}

  start(): void {
    this.fleet.timer.every(CHECK_INTERVAL_MS, () => this.sample());
  }

  /** Time since the entry VM last reached the service; 0 while it does. */
  cutForMs(node: FleetNode): number {
    const contact = this.contacts.get(node);
    // The last sample is up to an interval old.
    return contact === undefined || contact.isUp || this.isUp(node)
      ? 0
      : this.fleet.timer.now() - contact.since;
  }

  /** Time for which the entry VM has reached the service; 0 while it does not. */
  upForMs(node: FleetNode): number {
    const contact = this.contacts.get(node);
    return contact?.isUp === true && this.isUp(node) ? this.fleet.timer.now() - contact.since : 0;
  }

  private isUp(node: FleetNode): boolean {
    return this.listFaults(node).every(({ reachability }) => reachability === Reachability.Up);
  }

  private sample(): void {
    const now = this.fleet.timer.now();
    this.fleet.nodes.forEach((node) => {
      const isUp = this.isUp(node);
      if (this.contacts.get(node)?.isUp !== isUp) this.contacts.set(node, { isUp, since: now });
    });
  }
}
