/** The owned workers that may run batch items now. */
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
import { findShard } from '@jujubelanding/random';
import { FencingMode, RecordKind, VmState, type Worker } from '@jujubelanding/types';
import { WorkerSlots } from './worker-slots.js';

export interface WorkerPoolOptions {
  io: Pick<EntryVmIo, 'timer'>;
  configuration: Configuration;
  shards: ShardTable;
  directory: Directory;
  workers: OwnedWorkerLoads;
  policy: CapacityPolicy;
  /** Part of the request ids of this process. */
  dispatcherId: string;
}

export class WorkerPool {
  private readonly slotsByWorker = new Map<string, WorkerSlots>();

  constructor(private readonly options: WorkerPoolOptions) {}

  list(): WorkerSlots[] {
    return [...this.slotsByWorker.values()];
  }

  find(workerId: string): WorkerSlots | undefined {
    return this.slotsByWorker.get(workerId);
  }

  /** Adds lanes of workers gained; removes those of workers lost once their streams have ended. */
  refresh(): void {
    const owned = new Set(this.options.workers.workerIds());
    owned.forEach((id) => {
      if (!this.slotsByWorker.has(id))
        this.slotsByWorker.set(id, new WorkerSlots(id, this.options.policy));
      this.updateLimit(this.slotsByWorker.get(id)!);
    });
    this.slotsByWorker.forEach((lane, id) => {
      if (!owned.has(id) && lane.running.size === 0) this.slotsByWorker.delete(id);
    });
  }

  updateLimit(lane: WorkerSlots): void {
    const { workers, io, dispatcherId } = this.options;
    const { workerId } = lane;
    const foreignBatch = listForeignStreams(workers.report(workerId), dispatcherId).length;
    const reading = {
      slots: workers.slots(workerId),
      online: workers.online(workerId),
      foreignBatch,
    };
    lane.updateLimit(reading, io.timer.now());
  }

  /** Fencing number under which this VM may dispatch to the worker at this moment. */
  getFence(workerId: string): number | undefined {
    return this.options.shards.fenceOf(findShard(workerId));
  }

  /** The worker, if new items may be started on it. */
  findDispatchable(lane: WorkerSlots): Worker | undefined {
    const { workers, directory, io, shards } = this.options;
    const { workerId, pausedUntil } = lane;
    const now = io.timer.now();
    const worker = directory.find(workerId);
    const ownedSince = shards.ownedSince(findShard(workerId));
    if (worker?.state !== VmState.Live || ownedSince === undefined) return undefined;
    if (pausedUntil > now || this.getFence(workerId) === undefined) return undefined;
    if (!workers.isComplete(workerId)) return undefined;
    const start = computeDispatchStart(this.getFencingMode(worker), ownedSince);
    return start <= now ? worker : undefined;
  }

  /** Owned workers, except leaving ones, that have the model and the adapter loaded. */
  listWorkersFor(model: string, adapter?: string): string[] {
    return this.list()
      .map(({ workerId }) => workerId)
      .filter((workerId) => this.options.directory.find(workerId)?.state === VmState.Live)
      .filter((workerId) => this.hasLoaded(workerId, model, adapter));
  }

  /** Idle slots and limits by what the workers have loaded, for chunk requests. */
  measureCapacity(): Map<string, { free: number; limit: number }> {
    const capacity = new Map<string, { free: number; limit: number }>();
    this.list()
      .filter((lane) => this.findDispatchable(lane) !== undefined)
      .forEach((lane) => {
        this.listTargets(lane.workerId).forEach((target) => {
          const { free, limit } = capacity.get(target) ?? { free: 0, limit: 0 };
          capacity.set(target, { free: free + lane.free, limit: limit + lane.limit });
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
    // Without a record it is unknown whether the worker checks fencing numbers.
    return record?.spec.fencing ?? FencingMode.Ignored;
  }
}
