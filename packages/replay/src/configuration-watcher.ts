/** Watches which configuration revision is active on each entry VM. */
import { HostState, type Fleet, type FleetNode } from '@jujubelanding/simulation';

/** Short compared with the activation bound of 4 s. */
const POLL_INTERVAL_MS = 50;

export class ConfigurationWatcher {
  /** Number of times that the active revision of an entry VM decreased. */
  revertCount = 0;

  /** Time at which each accepted revision became active on all serving entry VMs; undefined before. */
  private readonly activationTimes = new Map<number, number | undefined>();

  /** Highest active revision seen on each entry VM, across restarts. */
  private readonly highestRevisions = new Map<string, number>();

  constructor(private readonly fleet: Fleet) {}

  start(): void {
    this.fleet.timer.every(POLL_INTERVAL_MS, () => this.checkAll());
  }

  trackRevision(revision: number): void {
    if (!this.activationTimes.has(revision)) this.activationTimes.set(revision, undefined);
  }

  getActivationTime(revision: number): number | undefined {
    return this.activationTimes.get(revision);
  }

  private checkAll(): void {
    // A VM that is not ready serves no requests, so no configuration is active on it.
    const serving = this.fleet
      .listLiveNodes()
      .filter(({ host, entryVm }) => host.state() === HostState.Running && entryVm.isReady());
    serving.forEach((node) => this.checkRevert(node));
    if (serving.length === 0) return;
    const lowestActive = Math.min(
      ...serving.map(({ entryVm }) => entryVm.components.configuration.activeRevision()),
    );
    for (const [revision, activatedAt] of this.activationTimes) {
      if (activatedAt === undefined && lowestActive >= revision) {
        this.activationTimes.set(revision, this.fleet.timer.now());
      }
    }
  }

  private checkRevert({ host, entryVm }: FleetNode): void {
    const active = entryVm.components.configuration.activeRevision();
    const previous = this.highestRevisions.get(host.id) ?? 0;
    if (active < previous) this.revertCount += 1;
    this.highestRevisions.set(host.id, Math.max(active, previous));
  }
}
