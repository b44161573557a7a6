/** Checks load orders against the state of the weight store and loaded models against the records. */
import type { FleetNode } from '@jujubelanding/simulation';
import { OrderKind, type Order } from '@jujubelanding/types';
import { ReachabilityTracker } from './reachability-tracker.js';
import { Invariant } from './violation.js';
import { PLACED_RECORDS } from './initial-records.js';
import type { SoakHarness } from './soak-harness.js';

/**
 * Maximum time between the loss of the weight store and a load order; two calls to the weight store
 * may time out after an earlier call got a response.
 */
const MAX_LOAD_ORDER_DELAY_MS = 6000;

const LOAD_ORDER_KINDS: readonly OrderKind[] = [OrderKind.LoadModel, OrderKind.LoadAdapter];

export class PlacementCheck {
  private readonly weightStoreReachability: ReachabilityTracker;

  constructor(private readonly harness: SoakHarness) {
    const { fleet } = harness;
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
   * Checks that models and adapters are loaded on the recorded number of workers after the faults
   * have ended. An adapter is loaded only on workers that have its model.
   */
  checkLoaded(): void {
    for (const { kind, name, spec } of PLACED_RECORDS) {
      const { value } = this.harness.fleet.keyValue.state.get(`records/${kind}/${name}`)!;
      const { minWorkers } = (JSON.parse(value) as { spec: { minWorkers: number } }).spec;
      const eligibleWorkers =
        kind === 'adapter' ? this.countWorkersWith(spec.model as string) : Infinity;
      const count = this.countWorkersWith(name);
      const expected = Math.min(minWorkers, eligibleWorkers);
      if (count >= expected) continue;
      const detail = `it is loaded on ${count} workers instead of ${expected}`;
      this.harness.violations.report(Invariant.PlacementDone, name, detail);
    }
  }

  private countWorkersWith(name: string): number {
    return this.harness.engines.filter((engine) => {
      const { models, adapters } = engine.readLoad(0);
      return models.includes(name) || adapters.includes(name);
    }).length;
  }

  private checkOrder(node: FleetNode, workerId: string, { kind, target }: Order): void {
    if (!LOAD_ORDER_KINDS.includes(kind)) return;
    this.harness.countFault('loadOrders', 1);
    const unreachableMs = this.weightStoreReachability.getUnreachableMs(node);
    if (unreachableMs <= MAX_LOAD_ORDER_DELAY_MS) return;
    const detail = `a load of ${target} was ordered ${Math.round(unreachableMs)} ms after the weight store became unreachable`;
    this.harness.violations.report(Invariant.LoadWithWeightStore, workerId, detail);
  }
}
