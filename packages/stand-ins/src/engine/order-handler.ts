/** Handles orders, which change the models, adapters and role of an engine and take time. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import { FencingMode, OrderKind, WorkerRole, type Order } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import type { EngineSettings } from './settings.js';

/** Fetches a weight; resolves when the transfer is complete, or with the fault that ended it. */
export type FetchWeight = (name: string) => Promise<Result<unknown, Fault> | void>;

export class OrderHandler {
  readonly models: Set<string>;

  readonly adapters: Set<string>;

  /** Versions of loaded models and adapters, as given in the orders that loaded them. */
  readonly versions = new Map<string, string>();

  role: WorkerRole;

  /** Number of the last order for each target; a load of an older order has no effect when it ends. */
  private readonly lastOrderByTarget = new Map<string, number>();

  private orderCount = 0;

  /** Highest fencing number of orders, kept apart from that of generations, which other owners send. */
  private highestOrderFence = 0;

  private highestGenerationFence = 0;

  constructor(
    private readonly timer: Timer,
    private readonly workerId: string,
    private readonly settings: EngineSettings,
    private readonly fetchWeight: FetchWeight = () => timer.sleep(settings.loadMs),
  ) {
    this.models = new Set(settings.models);
    this.adapters = new Set(settings.adapters);
    this.role = settings.role;
  }

  /** Accepts an order; load reports show its effect once it is complete. */
  accept(order: Order): Result<void, Fault> {
    if (this.settings.fencing === FencingMode.Checked) {
      if (order.fence < this.highestOrderFence) return this.errStaleFence('order', order.fence);
      this.highestOrderFence = order.fence;
    }
    this.orderCount += 1;
    this.lastOrderByTarget.set(order.target, this.orderCount);
    this.handlers[order.kind](order);
    return ok();
  }

  /** Checks the fencing number of a generation; online generations have none. */
  checkGenerationFence(fence: number | undefined): Result<void, Fault> {
    if (fence === undefined || this.settings.fencing === FencingMode.Ignored) return ok();
    if (fence < this.highestGenerationFence) return this.errStaleFence('generate', fence);
    this.highestGenerationFence = fence;
    return ok();
  }

  private readonly handlers: Record<OrderKind, (order: Order) => void> = {
    [OrderKind.LoadModel]: (order) => {
      void this.load(order, this.models);
    },
    [OrderKind.UnloadModel]: ({ target }) => this.unload(target, this.models),
    [OrderKind.LoadAdapter]: (order) => {
      void this.load(order, this.adapters);
    },
    [OrderKind.UnloadAdapter]: ({ target }) => this.unload(target, this.adapters),
    [OrderKind.ChangeRole]: ({ target }) => {
      const role = Object.values<string>(WorkerRole).includes(target)
        ? (target as WorkerRole)
        : undefined;
      if (role !== undefined) this.role = role;
    },
  };

  private async load({ target, version, weight }: Order, loaded: Set<string>): Promise<void> {
    const orderNumber = this.orderCount;
    const fetchResult = await this.fetchWeight(weight ?? target);
    if (fetchResult?.isErr() === true || this.lastOrderByTarget.get(target) !== orderNumber) return;
    loaded.add(target);
    if (version === undefined) this.versions.delete(target);
    else this.versions.set(target, version);
  }

  private unload(target: string, loaded: Set<string>): void {
    loaded.delete(target);
    this.versions.delete(target);
  }

  private errStaleFence(step: string, fence: number): Result<never, Fault> {
    const message = `fencing number ${fence} is out of date`;
    const { NotRun } = Outcome;
    return err({
      code: FaultCode.StaleFence,
      outcome: NotRun,
      step,
      peer: this.workerId,
      message,
    });
  }
}
