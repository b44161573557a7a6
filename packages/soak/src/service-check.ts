/** Checks that the sides of a separation keep answering online requests with their own workers. */
import { HostState, type FleetNode } from '@jujubelanding/simulation';
import { Reachability, type ModelEngine } from '@jujubelanding/stand-ins';
import { Reach } from './reach.js';
import type { Separation } from './separation.js';
import { Invariant } from './violation.js';
import type { World } from './world.js';

/** Workers that were healthy for so long count again; ejected ones are reinstated by then. */
const SETTLE_MS = 30_000;

/** Requests of one side and model without a single answer that make a violation. */
const MIN_REQUESTS = 6;

const CHECK_INTERVAL_MS = 500;

/** Lag of the VM list and the interval at which entry VMs read it. */
const LISTED_AFTER_MS = 800;

interface Tally {
  requests: number;
  answers: number;
}

const isHealthy = (world: World, engine: ModelEngine): boolean =>
  engine.faults.reachability === Reachability.Up &&
  !engine.isPaused() &&
  !world.observer.leavingSince.has(engine.workerId) &&
  engine.streamFaults.breakChance +
    engine.streamFaults.wrongIdChance +
    engine.streamFaults.swapChance +
    engine.streamFaults.gapChance +
    engine.streamFaults.truncateChance ===
    0;

export class ServiceCheck {
  private separation: Separation | undefined;

  private readonly tallies = new Map<string, Tally>();

  /** Time since which an engine has been healthy. */
  private readonly healthySince = new Map<ModelEngine, number>();

  /** Time since which an entry VM has been ready and running. */
  private readonly readySince = new Map<FleetNode, number>();

  private readonly listReach: Reach;

  constructor(private readonly world: World) {
    const { fleet } = world;
    this.listReach = new Reach(fleet, ({ vmList }) => [fleet.vmList.faults, vmList.faults]);
  }

  start(): void {
    this.listReach.start();
    this.world.fleet.timer.every(CHECK_INTERVAL_MS, () => this.sample());
  }

  begin(separation: Separation): void {
    this.separation = separation;
    this.tallies.clear();
  }

  end(): void {
    this.separation = undefined;
    for (const [subject, { requests, answers }] of this.tallies) {
      if (requests < MIN_REQUESTS) continue;
      this.world.countFault('sidesJudged', 1);
      if (answers > 0) continue;
      const detail = `none of ${requests} requests was answered`;
      this.world.violations.report(Invariant.SideServes, subject, detail);
    }
  }

  /** Returns what to call with the success of a request; undefined when it does not count. */
  follow(node: FleetNode, model: string): ((succeeded: boolean) => void) | undefined {
    const { separation } = this;
    const zones = separation?.sides.find((side) => side.includes(node.host.availabilityZone));
    if (zones === undefined || !this.isSettled(node, model, zones)) return undefined;
    return (succeeded) => {
      if (this.separation !== separation || !this.isSettled(node, model, zones)) return;
      const key = `${model} on ${zones.join('+')}`;
      const tally = this.tallies.get(key) ?? { requests: 0, answers: 0 };
      tally.requests += 1;
      if (succeeded) tally.answers += 1;
      this.tallies.set(key, tally);
    };
  }

  private isSettled(node: FleetNode, model: string, zones: readonly string[]): boolean {
    const now = this.world.fleet.timer.now();
    const since = this.readySince.get(node) ?? Infinity;
    if (now - since < SETTLE_MS) return false;
    // An entry VM without the VM list cannot learn that a worker takes requests again.
    const listReadAt = now - this.listReach.cutForMs(node);
    return this.world.enginesOf(model).some((engine) => {
      const inside = zones.some((zone) =>
        this.world.fleet.links.listMachinesIn(zone).includes(engine.workerId),
      );
      // A sample may be older than a crash that ended the request.
      if (!isHealthy(this.world, engine)) return false;
      const healthy = this.healthySince.get(engine) ?? Infinity;
      const isLoaded = engine.readLoad(0).models.includes(model);
      const isListed = healthy + LISTED_AFTER_MS <= listReadAt;
      return inside && isLoaded && isListed && now - healthy >= SETTLE_MS;
    });
  }

  private sample(): void {
    const now = this.world.fleet.timer.now();
    this.world.engines.forEach((engine) => {
      if (!isHealthy(this.world, engine)) this.healthySince.delete(engine);
      else if (!this.healthySince.has(engine)) this.healthySince.set(engine, now);
    });
    this.world.fleet.nodes.forEach((node) => {
      const serves = node.host.state() === HostState.Running && node.entryVm.isReady();
      if (!serves) this.readySince.delete(node);
      else if (!this.readySince.has(node)) this.readySince.set(node, now);
    });
  }
}
