/** Checks the orders of placement against the weight store and the records. */
import type { FleetNode } from '@jujubelanding/simulation';
import { OrderKind, type Order } from '@jujubelanding/types';
import { ReachabilityTracker } from './reachability-tracker.js';
import { Invariant } from './violation.js';
import { PLACED_RECORDS } from './initial-records.js';
import type { SoakHarness } from './soak-harness.js';

/** Two calls to the weight store may end by time-out after an earlier one was answered. */
const WEIGHT_STORE_GRACE_MS = 6000;

const LOAD_ORDER_KINDS: readonly OrderKind[] = [OrderKind.LoadModel, OrderKind.LoadAdapter];

export class PlacementCheck {
  private readonly weightStoreReachability: ReachabilityTracker;

  constructor(private readonly world: SoakHarness) {
    const { fleet } = world;
    this.weightStoreReachability = new ReachabilityTracker(fleet, (node) => [
      fleet.weightStore.faults,
      node.weightStore.faults,
    ]);
  }

  start(): void {
    this.weightStoreReachability.start();
  }

  watchNode(node: FleetNode): void {
    const { backendServers } = node;
    const sendOrder = backendServers.sendOrder.bind(backendServers);
    backendServers.sendOrder = (worker, order) => {
      this.checkOrder(node, worker.id, order);
      return sendOrder(worker, order);
    };
  }

  /**
   * Once faults have ended, models and adapters are on as many workers as their records say; an
   * adapter goes to workers that have its model only.
   */
  checkLoaded(): void {
    for (const { kind, name, spec } of PLACED_RECORDS) {
      const { value } = this.world.fleet.keyValue.state.get(`records/${kind}/${name}`)!;
      const { minWorkers } = (JSON.parse(value) as { spec: { minWorkers: number } }).spec;
      const eligibleWorkers =
        kind === 'adapter' ? this.countWorkersWith(spec.model as string) : Infinity;
      const count = this.countWorkersWith(name);
      const expected = Math.min(minWorkers, eligibleWorkers);
      if (count >= expected) continue;
      const detail = `on ${count} workers instead of ${expected}`;
      this.world.violations.report(Invariant.PlacementDone, name, detail);
    }
  }

  private countWorkersWith(name: string): number {
    return this.world.engines.filter((engine) => {
      const { models, adapters } = engine.readLoad(0);
      return models.includes(name) || adapters.includes(name);
    }).length;
  }

  private checkOrder(node: FleetNode, workerId: string, { kind, target }: Order): void {
    if (!LOAD_ORDER_KINDS.includes(kind)) return;
    this.world.countFault('loadOrders', 1);
    const cutMs = this.weightStoreReachability.getUnreachableMs(node);
    if (cutMs <= WEIGHT_STORE_GRACE_MS) return;
    const detail = `${target} ordered ${Math.round(cutMs)} ms after the weight store was lost`;
    this.world.violations.report(Invariant.LoadWithWeightStore, workerId, detail);
  }
}
