/** Tracks the owned workers, their batch slots and whether they may run batch items. */
import {
  computeDispatchStart,
  listForeignStreams,
  type CapacityPolicy,
} from '@jujubelanding/batch-capacity';
import type {
  Configuration,
  Directory,
  EntryVmIo,
  OwnedWorkerLoads,
  ShardTable,
} from '@jujubelanding/interfaces';
import { formatTarget } from '@jujubelanding/batch-jobs';
import { computeShard } from '@jujubelanding/random';
import { FencingMode, RecordKind, VmState, type Worker } from '@jujubelanding/types';
import { WorkerSlots } from './worker-slots.js';

export interface WorkerPoolOptions {
  io: Pick<EntryVmIo, 'timer'>;
  configuration: Configuration;
  shards: ShardTable;
  directory: Directory;
  workers: OwnedWorkerLoads;
  policy: CapacityPolicy;
  /** Identifies this process in the request ids of batch items. */
  dispatcherId: string;
}

export class WorkerPool {
  private readonly slots = new Map<string, WorkerSlots>();

  constructor(private readonly options: WorkerPoolOptions) {}

  list(): WorkerSlots[] {
    return [...this.slots.values()];
  }

  find(workerId: string): WorkerSlots | undefined {
    return this.slots.get(workerId);
  }

  /** Adds slots for gained workers, and removes those of lost workers once their streams have ended. */
  refresh(): void {
    const owned = new Set(this.options.workers.workerIds());
    owned.forEach((id) => {
      if (!this.slots.has(id)) this.slots.set(id, new WorkerSlots(id, this.options.policy));
      this.updateLimit(this.slots.get(id)!);
    });
    this.slots.forEach((slots, id) => {
      if (!owned.has(id) && slots.running.size === 0) this.slots.delete(id);
    });
  }

  updateLimit(slots: WorkerSlots): void {
    const { workers, io, dispatcherId } = this.options;
    const { workerId } = slots;
    const foreignBatch = listForeignStreams(workers.report(workerId), dispatcherId).length;
    const usage = {
      slots: workers.slots(workerId),
      online: workers.online(workerId),
      foreignBatch,
    };
    slots.updateLimit(usage, io.timer.now());
  }

  /** Returns the fencing number under which this VM may dispatch to the worker now. */
  getFence(workerId: string): number | undefined {
    return this.options.shards.fenceOf(computeShard(workerId));
  }

  /** Returns the worker if items may be started on it now. */
  findDispatchable(slots: WorkerSlots): Worker | undefined {
    const { workers, directory, io, shards } = this.options;
    const { workerId, pausedUntil } = slots;
    const now = io.timer.now();
    const worker = directory.find(workerId);
    const ownedSince = shards.ownedSince(computeShard(workerId));
    if (worker?.state !== VmState.Live || ownedSince === undefined) return undefined;
    if (pausedUntil > now || this.getFence(workerId) === undefined) return undefined;
    if (!workers.isComplete(workerId)) return undefined;
    const start = computeDispatchStart(this.getFencingMode(worker), ownedSince);
    return start <= now ? worker : undefined;
  }

  /** Lists the live owned workers that have the model and the adapter loaded. */
  listWorkersFor(model: string, adapter?: string): string[] {
    return this.list()
      .map(({ workerId }) => workerId)
      .filter((workerId) => this.options.directory.find(workerId)?.state === VmState.Live)
      .filter((workerId) => this.hasLoaded(workerId, model, adapter));
  }

  /** Sums up free slots and limits by loaded model and adapter, for chunk requests. */
  measureCapacity(): Map<string, { free: number; limit: number }> {
    const capacity = new Map<string, { free: number; limit: number }>();
    this.list()
      .filter((slots) => this.findDispatchable(slots) !== undefined)
      .forEach((slots) => {
        this.listTargets(slots.workerId).forEach((target) => {
          const { free, limit } = capacity.get(target) ?? { free: 0, limit: 0 };
          capacity.set(target, { free: free + slots.free, limit: limit + slots.limit });
        });
      });
    return capacity;
  }

  getStallTimeout(worker: Pick<Worker, 'service'>, fallbackMs: number): number {
    const { configuration } = this.options;
    return (
      configuration.get(RecordKind.Service, worker.service)?.spec.requestTimeoutMs ?? fallbackMs
    );
  }

  private hasLoaded(workerId: string, model: string, adapter?: string): boolean {
    const report = this.options.workers.report(workerId);
    if (report === undefined || !report.models.includes(model)) return false;
    return adapter === undefined || report.adapters.includes(adapter);
  }

  private listTargets(workerId: string): string[] {
    const report = this.options.workers.report(workerId);
    if (report === undefined) return [];
    return report.models.flatMap((model) => [
      model,
      ...report.adapters.map((adapter) => formatTarget(model, adapter)),
    ]);
  }

  private getFencingMode({ service }: Worker): FencingMode {
    const record = this.options.configuration.get(RecordKind.Service, service);
    // Without a service record it is unknown whether the worker checks fencing numbers.
    return record?.spec.fencing ?? FencingMode.Ignored;
  }
}
