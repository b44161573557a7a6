import type { EntryVmRegistry, Registration } from '@jujubelanding/entry-vm-registry';
import type { FleetLoad } from '@jujubelanding/fleet-load';
import {
  compareStops,
  decideStop,
  selectStaying,
  StopStep,
  type Admission,
  type FleetState,
  type StoppingVm,
} from '@jujubelanding/planned-stop';
import type { Timer } from '@jujubelanding/timer';
import type { DeployedSettings } from './settings.js';
import { computeCallerDrain, computeStopTime, STAYING_DRAIN_MS } from './stop-times.js';

/** Time after the end of its grace in which a stopped VM has usually returned. */
const RETURN_MS = 3000;

/** Time that most requests take; a VM that ends sooner is of no use to new callers. */
const REQUEST_MS = 1500;

export interface StopCoordinatorOptions {
  settings: DeployedSettings;
  timer: Timer;
  loads: Pick<FleetLoad, 'listServing' | 'listLeaving'>;
  registry: Pick<EntryVmRegistry, 'self' | 'find'>;
  admission: () => Pick<Admission, 'stoppingSince'>;
}

/** Coordinates the planned stops of the fleet, so that callers find VMs however many stop at once. */
export class StopCoordinator {
  /** Time until which callers may use this VM although it is being stopped. */
  private neededUntil = -Infinity;

  constructor(private readonly options: StopCoordinatorOptions) {}

  /** Decides what this VM does next once it is being stopped. */
  decide(isListening: boolean, requestsInProgress: number): StopStep {
    const { settings, timer, loads, admission } = this.options;
    const since = admission().stoppingSince;
    if (since === undefined) return StopStep.Serve;
    const servingVms = loads.listServing().length;
    const stopping = this.listStopping();
    const self = { entryVmId: settings.entryVmId, since };
    this.listStaying(servingVms);
    return decideStop({
      elapsedMs: timer.now() - since,
      deadlineMs: computeStopTime(settings),
      callerDrainMs: Math.max(computeCallerDrain(settings), this.neededUntil - since),
      isListening,
      requestsInProgress,
      fleetVms: servingVms + stopping.length + 1,
      remainingVms: servingVms + stopping.filter((vm) => compareStops(self, vm) < 0).length,
    });
  }

  /** Lists the stopping VMs that callers may use because too few VMs serve. */
  listStaying(servingVms: number): Registration[] {
    const { settings, timer, registry, admission } = this.options;
    const { entryVmId } = settings;
    const since = admission().stoppingSince;
    const ids = selectStaying({
      now: timer.now(),
      servingVms,
      stopping: [...this.listStopping(), ...(since === undefined ? [] : [{ entryVmId, since }])],
      graceMs: computeStopTime(settings),
      minStayMs: STAYING_DRAIN_MS + REQUEST_MS,
    });
    // The other VMs come to the same choice, so callers may have got the address of this VM.
    if (ids.includes(entryVmId)) this.neededUntil = timer.now() + STAYING_DRAIN_MS;
    return ids
      .map((id) => (id === entryVmId ? registry.self : registry.find(id)))
      .filter((vm) => vm !== undefined)
      .filter(({ callerAddress }) => callerAddress !== '');
  }

  readFleet(): FleetState {
    return {
      servingVms: this.options.loads.listServing().length,
      stoppingSince: this.listStopping().map(({ since }) => since),
    };
  }

  /** Lists the other VMs that are stopping, or have stopped and are not back yet. */
  private listStopping(): readonly StoppingVm[] {
    const { loads, settings } = this.options;
    return loads.listLeaving(settings.terminationGraceMs + RETURN_MS);
  }
}
