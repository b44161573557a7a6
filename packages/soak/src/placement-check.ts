/** Checks the orders of placement against the weight store and the records. */
import type { FleetNode } from '@jujubelanding/simulation';
import { OrderKind, type Order } from '@jujubelanding/types';
import { Reach } from './reach.js';
import { Invariant } from './violation.js';
import { PLACED_RECORDS } from './initial-records.js';
import type { World } from './world.js';

/** Two calls to the weight store may end by time-out after an earlier one was answered. */
const GRACE_MS = 6000;

const LOADS: readonly OrderKind[] = [OrderKind.LoadModel, OrderKind.LoadAdapter];

export class PlacementCheck {
  private readonly reach: Reach;

  constructor(private readonly world: World) {
    const { fleet } = world;
    this.reach = new Reach(fleet, (node) => [fleet.weightStore.faults, node.weightStore.faults]);
  }

  start(): void {
    this.reach.start();
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
      const possible = kind === 'adapter' ? this.countLoaded(spec.model as string) : Infinity;
      const count = this.countLoaded(name);
      const expected = Math.min(minWorkers, possible);
      if (count >= expected) continue;
      const detail = `on ${count} workers instead of ${expected}`;
      this.world.violations.report(Invariant.PlacementDone, name, detail);
    }
  }

  private countLoaded(name: string): number {
    return this.world.engines.filter((engine) => {
      const { models, adapters } = engine.readLoad(0);
      return models.includes(name) || adapters.includes(name);
    }).length;
  }

  private checkOrder(node: FleetNode, workerId: string, { kind, target }: Order): void {
    if (!LOADS.includes(kind)) return;
    this.world.countFault('loadOrders', 1);
    const cutMs = this.reach.cutForMs(node);
    if (cutMs <= GRACE_MS) return;
    const detail = `${target} ordered ${Math.round(cutMs)} ms after the weight store was lost`;
    this.world.violations.report(Invariant.LoadWithWeightStore, workerId, detail);
  }
}
