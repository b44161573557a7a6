/** Checks that both sides of a network partition keep serving online requests with their own workers. */
import { HostState, type FleetNode } from '@jujubelanding/simulation';
import { Reachability, type ModelEngine } from '@jujubelanding/stand-ins';
import { ReachabilityTracker } from './reachability-tracker.js';
import type { NetworkPartition } from './network-partition.js';
import { Invariant } from './violation.js';
import type { SoakHarness } from './soak-harness.js';

/**
 * Time for which a worker must have been healthy and an entry VM ready before requests count; ejected
 * workers are reinstated by then.
 */
const MIN_STABLE_MS = 30_000;

/** Number of requests for one side and model that must include a successful one. */
const MIN_REQUESTS = 6;

const CHECK_INTERVAL_MS = 500;

/** Lag of the VM list plus the interval at which entry VMs poll it. */
const VM_LIST_DELAY_MS = 800;

interface RequestCounts {
  requests: number;
  answers: number;
}

const isHealthy = (harness: SoakHarness, engine: ModelEngine): boolean =>
  engine.faults.reachability === Reachability.Up &&
  !engine.isPaused() &&
  !harness.observer.leavingSinceByWorker.has(engine.workerId) &&
  engine.streamFaults.breakChance +
    engine.streamFaults.wrongIdChance +
    engine.streamFaults.swapChance +
    engine.streamFaults.gapChance +
    engine.streamFaults.truncateChance ===
    0;

export class PartitionServiceCheck {
  private partition: NetworkPartition | undefined;

  private readonly countsBySideAndModel = new Map<string, RequestCounts>();

  /** Time since which each engine has been healthy. */
  private readonly healthySince = new Map<ModelEngine, number>();

  /** Time since which each entry VM has been running and ready. */
  private readonly readySince = new Map<FleetNode, number>();

  private readonly vmListReachability: ReachabilityTracker;

  constructor(private readonly harness: SoakHarness) {
    const { fleet } = harness;
    this.vmListReachability = new ReachabilityTracker(fleet, ({ vmList }) => [
      fleet.vmList.faults,
      vmList.faults,
    ]);
  }

  start(): void {
    this.vmListReachability.start();
    this.harness.fleet.timer.every(CHECK_INTERVAL_MS, () => this.sample());
  }

  startPartition(partition: NetworkPartition): void {
    this.partition = partition;
    this.countsBySideAndModel.clear();
  }

  endPartition(): void {
    this.partition = undefined;
    for (const [subject, { requests, answers }] of this.countsBySideAndModel) {
      if (requests < MIN_REQUESTS) continue;
      this.harness.countFault('sidesJudged', 1);
      if (answers > 0) continue;
      const detail = `none of ${requests} requests succeeded`;
      this.harness.violations.report(Invariant.SideServes, subject, detail);
    }
  }

  /** Returns the callback for the result of a request, or undefined when the request does not count. */
  trackRequest(node: FleetNode, model: string): ((succeeded: boolean) => void) | undefined {
    const { partition } = this;
    const zones = partition?.sides.find((side) => side.includes(node.host.availabilityZone));
    if (zones === undefined || !this.hasStableWorker(node, model, zones)) return undefined;
    return (succeeded) => {
      if (this.partition !== partition || !this.hasStableWorker(node, model, zones)) return;
      const key = `${model} on ${zones.join('+')}`;
      const counts = this.countsBySideAndModel.get(key) ?? { requests: 0, answers: 0 };
      counts.requests += 1;
      if (succeeded) counts.answers += 1;
      this.countsBySideAndModel.set(key, counts);
    };
  }

  private hasStableWorker(node: FleetNode, model: string, zones: readonly string[]): boolean {
    const now = this.harness.fleet.timer.now();
    const readySince = this.readySince.get(node) ?? Infinity;
    if (now - readySince < MIN_STABLE_MS) return false;
    // An entry VM that can't reach the VM list can't learn that a worker takes requests again.
    const listReadAt = now - this.vmListReachability.getUnreachableMs(node);
    return this.harness.listEnginesFor(model).some((engine) => {
      const isInZones = zones.some((zone) =>
        this.harness.fleet.links.listMachinesIn(zone).includes(engine.workerId),
      );
      // The last sample may be older than a crash that ended the request.
      if (!isHealthy(this.harness, engine)) return false;
      const healthySince = this.healthySince.get(engine) ?? Infinity;
      const isLoaded = engine.readLoad(0).models.includes(model);
      const isListed = healthySince + VM_LIST_DELAY_MS <= listReadAt;
      return isInZones && isLoaded && isListed && now - healthySince >= MIN_STABLE_MS;
    });
  }

  private sample(): void {
    const now = this.harness.fleet.timer.now();
    this.harness.engines.forEach((engine) => {
      if (!isHealthy(this.harness, engine)) this.healthySince.delete(engine);
      else if (!this.healthySince.has(engine)) this.healthySince.set(engine, now);
    });
    this.harness.fleet.nodes.forEach((node) => {
      const isServing = node.host.state() === HostState.Running && node.entryVm.isReady();
      if (!isServing) this.readySince.delete(node);
      else if (!this.readySince.has(node)) this.readySince.set(node, now);
    });
  }
}
