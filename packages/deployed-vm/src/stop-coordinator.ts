import type { EntryVmRegistry, Registration } from '@jujubelanding/entry-vm-registry';
import { PEER_TIMEOUT_MS, type Departure, type FleetLoad } from '@jujubelanding/fleet-load';
import {
  compareStops,
  countWanted,
  decideStop,
  selectStaying,
  StopStep,
  type FleetState,
} from '@jujubelanding/planned-stop';
import type { Timer } from '@jujubelanding/timer';
import type { DeployedSettings } from './settings.js';
import { computeCallerDrain, computeStopTime, STAYING_DRAIN_MS } from './stop-times.js';

/** Time after the end of its grace in which a stopped VM has usually returned. */
const RETURN_MS = 3000;

/** Time that a VM must stay after the last caller that gets its address has come. */
const REQUEST_MS = 1500;

export interface StopCoordinatorOptions {
  settings: DeployedSettings;
  timer: Timer;
  loads: Pick<FleetLoad, 'listServing' | 'listLeaving' | 'departure'>;
  registry: Pick<EntryVmRegistry, 'self' | 'find'>;
}

/** Coordinates the planned stops of the fleet, so that callers find VMs however many stop at once. */
export class StopCoordinator {
  /** Time until which callers may use this VM although it is being stopped. */
  private neededUntil = -Infinity;

  constructor(private readonly options: StopCoordinatorOptions) {}

  /** Decides what this VM does next once it is being stopped. */
  decide(isListening: boolean, requestsInProgress: number): StopStep {
    const { settings, timer, loads } = this.options;
    const own = loads.departure;
    if (own === undefined) return StopStep.Serve;
    this.extendIfNamed();
    const servingVms = loads.listServing().length;
    const later = this.listAccepting().filter((vm) => compareStops(own, vm) < 0);
    return decideStop({
      elapsedMs: timer.now() - own.since,
      deadlineMs: computeStopTime(settings),
      callerDrainMs: Math.max(computeCallerDrain(settings), this.neededUntil - own.since),
      isListening,
      requestsInProgress,
      fleetVms: this.countFleet(servingVms),
      remainingVms: servingVms + later.length,
    });
  }

  /** Lists the stopping VMs that callers may use because too few VMs serve. */
  listStaying(servingVms: number): Registration[] {
    const { settings, registry } = this.options;
    return this.selectStayingIds(servingVms)
      .map((id) => (id === settings.entryVmId ? registry.self : registry.find(id)))
      .filter((vm) => vm !== undefined)
      .filter(({ callerAddress }) => callerAddress !== '');
  }

  /** True while too few VMs serve. */
  isFleetShort(servingVms: number): boolean {
    return servingVms < countWanted(this.countFleet(servingVms));
  }

  /** Number of other VMs that accept callers, serving or stopping. */
  countOthers(): number {
    const { loads, settings } = this.options;
    const stopping = this.listAccepting().filter(
      ({ entryVmId }) => entryVmId !== settings.entryVmId,
    );
    return loads.listServing().length + stopping.length;
  }

  readFleet(): FleetState {
    return {
      servingVms: this.options.loads.listServing().length,
      stoppingSince: this.listStopping().map(({ since }) => since),
    };
  }

  /** The other VMs come to the same selection, so callers may have got the address of this VM. */
  private extendIfNamed(): void {
    const { loads, settings, timer } = this.options;
    const ids = this.selectStayingIds(loads.listServing().length);
    if (ids.includes(settings.entryVmId)) this.neededUntil = timer.now() + STAYING_DRAIN_MS;
  }

  private selectStayingIds(servingVms: number): string[] {
    const { settings, timer } = this.options;
    return selectStaying({
      now: timer.now(),
      fleetVms: this.countFleet(servingVms),
      servingVms,
      stopping: this.listAccepting(),
      graceMs: computeStopTime(settings),
      minStayMs: STAYING_DRAIN_MS + REQUEST_MS,
    });
  }

  /** Counts the VMs that serve, that are stopping, or that have stopped and are not back yet. */
  private countFleet(servingVms: number): number {
    const own = this.options.loads.departure === undefined ? 0 : 1;
    return servingVms + own + this.listStopping().length;
  }

  /** Lists the stopping VMs, this one included, that still accept connections. */
  private listAccepting(): Departure[] {
    const { loads, timer } = this.options;
    const oldest = timer.now() - PEER_TIMEOUT_MS;
    const others = this.listStopping().filter(
      ({ isClosed, heardAt }) => !isClosed && heardAt >= oldest,
    );
    const own = loads.departure;
    return own === undefined || own.isClosed ? others : [...others, own];
  }

  /** Lists the other VMs that are stopping, or have stopped and are not back yet. */
  private listStopping(): readonly Departure[] {
    const { loads, settings } = this.options;
    return loads.listLeaving(settings.terminationGraceMs + RETURN_MS);
  }
}
