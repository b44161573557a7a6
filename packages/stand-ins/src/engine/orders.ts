/** Models, adapters and role of an engine, changed by orders that take time. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import { FencingMode, OrderKind, WorkerRole, type Order } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import type { EngineSettings } from './settings.js';

/** Loads a weight; resolves when it has arrived, or with the fault that ended the load. */
export type FetchWeight = (name: string) => Promise<Result<unknown, Fault> | void>;

export class OrderDesk {
  readonly models: Set<string>;

  readonly adapters: Set<string>;

  role: WorkerRole;

  /** Highest fencing number seen; of orders and of generations, which other owners send. */
  private orderFence = 0;

  private generationFence = 0;

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

  /** Accepts an order; its effect shows in load reports once it is done. */
  accept(order: Order): Result<void, Fault> {
    if (this.settings.fencing === FencingMode.Checked) {
      if (order.fence < this.orderFence) return this.rejectFence('order', order.fence);
      this.orderFence = order.fence;
    }
    this.handlers[order.kind](order.target);
    return ok();
  }

  /** Checks the fencing number of a generation; online generations carry none. */
  checkGeneration(fence: number | undefined): Result<void, Fault> {
    if (fence === undefined || this.settings.fencing === FencingMode.Ignored) return ok();
    if (fence < this.generationFence) return this.rejectFence('generate', fence);
    this.generationFence = fence;
    return ok();
  }

  private readonly handlers: Record<OrderKind, (target: string) => void> = {
    [OrderKind.LoadModel]: (target) => {
      void this.load(target, this.models);
    },
    [OrderKind.UnloadModel]: (target) => this.models.delete(target),
    [OrderKind.LoadAdapter]: (target) => {
      void this.load(target, this.adapters);
    },
    [OrderKind.UnloadAdapter]: (target) => this.adapters.delete(target),
    [OrderKind.ChangeRole]: (target) => {
      const role = Object.values<string>(WorkerRole).includes(target)
        ? (target as WorkerRole)
        : undefined;
      if (role !== undefined) this.role = role;
    },
  };

  private async load(name: string, loaded: Set<string>): Promise<void> {
    const weight = await this.fetchWeight(name);
    if (weight?.isErr() !== true) loaded.add(name);
  }

  private rejectFence(step: string, fence: number): Result<never, Fault> {
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
