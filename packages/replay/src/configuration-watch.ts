/** Watches which configuration revision is in force on each entry VM. */
import { HostState, type Fleet, type FleetNode } from '@jujubelanding/simulation';

/** Short compared with the bound of 4 s. */
const WATCH_INTERVAL_MS = 50;

export class ConfigurationWatch {
  /** Times at which an entry VM had an older revision in force than before. */
  reverts = 0;

  /** Accepted revisions, with the time since which they are in force on all live entry VMs. */
  private readonly awaited = new Map<number, number | undefined>();

  /** Highest revision in force seen per entry VM, over all its runs. */
  private readonly highest = new Map<string, number>();

  constructor(private readonly fleet: Fleet) {}

  start(): void {
    this.fleet.timer.every(WATCH_INTERVAL_MS, () => this.checkAll());
  }

  await(revision: number): void {
    if (!this.awaited.has(revision)) this.awaited.set(revision, undefined);
  }

  inForceAt(revision: number): number | undefined {
    return this.awaited.get(revision);
  }

  private checkAll(): void {
    // A VM that is not ready serves nothing, so no configuration is in force on it.
    const serving = this.fleet
      .listLiveNodes()
      .filter(({ host, entryVm }) => host.state() === HostState.Running && entryVm.isReady());
    serving.forEach((node) => this.checkRevert(node));
    if (serving.length === 0) return;
    const everywhere = Math.min(
      ...serving.map(({ entryVm }) => entryVm.components.configuration.activeRevision()),
    );
    for (const [revision, since] of this.awaited) {
      if (since === undefined && everywhere >= revision) {
        this.awaited.set(revision, this.fleet.timer.now());
      }
    }
  }

  private checkRevert({ host, entryVm }: FleetNode): void {
    const active = entryVm.components.configuration.activeRevision();
    const before = this.highest.get(host.id) ?? 0;
    if (active < before) this.reverts += 1;
    this.highest.set(host.id, Math.max(active, before));
  }
}
