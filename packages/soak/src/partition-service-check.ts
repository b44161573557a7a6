/** Checks that the sides of a separation keep answering online requests with their own workers. */
import { HostState, type FleetNode } from '@jujubelanding/simulation';
import { Reachability, type ModelEngine } from '@jujubelanding/stand-ins';
import { ReachabilityTracker } from './reachability-tracker.js';
import type { NetworkPartition } from './network-partition.js';
import { Invariant } from './violation.js';
import type { SoakHarness } from './soak-harness.js';

/** Workers that were healthy for so long count again; ejected ones are reinstated by then. */
const MIN_STABLE_MS = 30_000;

/** Requests of one side and model without a single answer that make a violation. */
const MIN_REQUESTS = 6;

const CHECK_INTERVAL_MS = 500;

/** Lag of the VM list and the interval at which entry VMs read it. */
const VM_LIST_DELAY_MS = 800;

interface RequestCounts {
  requests: number;
  answers: number;
}

const isHealthy = (world: SoakHarness, engine: ModelEngine): boolean =>
  engine.faults.reachability === Reachability.Up &&
  !engine.isPaused() &&
  !world.observer.leavingSinceByWorker.has(engine.workerId) &&
  engine.streamFaults.breakChance +
    engine.streamFaults.wrongIdChance +
    engine.streamFaults.swapChance +
    engine.streamFaults.gapChance +
    engine.streamFaults.truncateChance ===
    0;

export class PartitionServiceCheck {
  private partition: NetworkPartition | undefined;

  private readonly countsBySide = new Map<string, RequestCounts>();

  /** Time since which an engine has been healthy. */
  private readonly healthySince = new Map<ModelEngine, number>();

  /** Time since which an entry VM has been ready and running. */
  private readonly readySince = new Map<FleetNode, number>();

  private readonly vmListReachability: ReachabilityTracker;

  constructor(private readonly world: SoakHarness) {
    const { fleet } = world;
    this.vmListReachability = new ReachabilityTracker(fleet, ({ vmList }) => [
      fleet.vmList.faults,
      vmList.faults,
    ]);
  }

  start(): void {
    this.vmListReachability.start();
    this.world.fleet.timer.every(CHECK_INTERVAL_MS, () => this.sample());
  }

  startPartition(partition: NetworkPartition): void {
    this.partition = partition;
    this.countsBySide.clear();
  }

  endPartition(): void {
    this.partition = undefined;
    for (const [subject, { requests, answers }] of this.countsBySide) {
      if (requests < MIN_REQUESTS) continue;
      this.world.countFault('sidesJudged', 1);
      if (answers > 0) continue;
      const detail = `none of ${requests} requests was answered`;
      this.world.violations.report(Invariant.SideServes, subject, detail);
    }
  }

  /** Returns what to call with the success of a request; undefined when it does not count. */
  trackRequest(node: FleetNode, model: string): ((succeeded: boolean) => void) | undefined {
    const { partition: separation } = this;
    const zones = separation?.sides.find((side) => side.includes(node.host.availabilityZone));
    if (zones === undefined || !this.hasStableWorker(node, model, zones)) return undefined;
    return (succeeded) => {
      if (this.partition !== separation || !this.hasStableWorker(node, model, zones)) return;
      const key = `${model} on ${zones.join('+')}`;
      const counts = this.countsBySide.get(key) ?? { requests: 0, answers: 0 };
      counts.requests += 1;
      if (succeeded) counts.answers += 1;
      this.countsBySide.set(key, counts);
    };
  }

  private hasStableWorker(node: FleetNode, model: string, zones: readonly string[]): boolean {
    const now = this.world.fleet.timer.now();
    const since = this.readySince.get(node) ?? Infinity;
    if (now - since < MIN_STABLE_MS) return false;
    // An entry VM without the VM list cannot learn that a worker takes requests again.
    const listReadAt = now - this.vmListReachability.getUnreachableMs(node);
    return this.world.listEnginesFor(model).some((engine) => {
      const isInZones = zones.some((zone) =>
        this.world.fleet.links.listMachinesIn(zone).includes(engine.workerId),
      );
      // A sample may be older than a crash that ended the request.
      if (!isHealthy(this.world, engine)) return false;
      const healthySince = this.healthySince.get(engine) ?? Infinity;
      const isLoaded = engine.readLoad(0).models.includes(model);
      const isListed = healthySince + VM_LIST_DELAY_MS <= listReadAt;
      return isInZones && isLoaded && isListed && now - healthySince >= MIN_STABLE_MS;
    });
  }

  private sample(): void {
    const now = this.world.fleet.timer.now();
    this.world.engines.forEach((engine) => {
      if (!isHealthy(this.world, engine)) this.healthySince.delete(engine);
      else if (!this.healthySince.has(engine)) this.healthySince.set(engine, now);
    });
    this.world.fleet.nodes.forEach((node) => {
      const isServing = node.host.state() === HostState.Running && node.entryVm.isReady();
      if (!isServing) this.readySince.delete(node);
      else if (!this.readySince.has(node)) this.readySince.set(node, now);
    });
  }
}
