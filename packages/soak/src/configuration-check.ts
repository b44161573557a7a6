/** Checks that the active configuration revision never decreases on an entry VM, even across restarts. */
import { HostState, type Fleet, type FleetNode } from '@jujubelanding/simulation';
import { Invariant, type Violations } from './violation.js';

const CHECK_INTERVAL_MS = 50;

export class ConfigurationCheck {
  /** Highest active revision seen on each entry VM, across restarts. */
  private readonly highestRevisions = new Map<string, number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly violations: Violations,
  ) {}

  start(): void {
    this.fleet.timer.every(CHECK_INTERVAL_MS, () => this.checkAll());
  }

  private checkAll(): void {
    this.fleet.listLiveNodes().forEach((node) => this.checkNode(node));
  }

  private checkNode({ host, entryVm }: FleetNode): void {
    // A VM that is not ready serves no requests, so no configuration is active on it.
    if (host.state() !== HostState.Running || !entryVm.isReady()) return;
    const active = entryVm.components.configuration.activeRevision();
    const previous = this.highestRevisions.get(host.id) ?? 0;
    if (active < previous) {
      const detail = `revision ${active} is active after ${previous}`;
      this.violations.report(Invariant.MonotonicConfiguration, `${host.id}@${previous}`, detail);
    }
    this.highestRevisions.set(host.id, Math.max(active, previous));
  }
}
