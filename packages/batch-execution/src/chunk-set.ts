/** The chunks that this executor is processing. */
import type { EntryVmIo, SegmentStore } from '@jujubelanding/interfaces';
import { formatTarget, parseItems } from '@jujubelanding/batch-jobs';
import type { Log } from '@jujubelanding/log';
import type { ChunkGrant } from '@jujubelanding/peer-protocol';
import { ChunkFinisher } from './chunk-finisher.js';
import { ChunkPhase, ActiveChunk } from './active-chunk.js';
import { mayDispatch } from './item-choice.js';
import type { JobOwnerClient } from './job-owner-client.js';

/** Bounds the memory used by the items of active chunks. */
export const MAX_CHUNKS = 16;

export interface ChunkSetOptions {
  io: Pick<EntryVmIo, 'timer' | 'random'>;
  segments: SegmentStore;
  ownerClient: JobOwnerClient;
  executorId: string;
  log: Log;
  /** Called when a chunk was stopped, with its previous phase. */
  onStop: (chunk: ActiveChunk, phase: ChunkPhase) => void;
}

export class ChunkSet {
  private readonly chunks = new Map<string, ActiveChunk>();

  /** Grants whose items are being loaded. */
  private readonly loading = new Map<string, ChunkGrant>();

  private readonly finisher: ChunkFinisher;

  constructor(private readonly options: ChunkSetOptions) {
    this.finisher = new ChunkFinisher(options);
  }

  get size(): number {
    return this.chunks.size + this.loading.size;
  }

  /** Lists the chunks in the order of their due times. */
  list(): ActiveChunk[] {
    return [...this.chunks.values()].toSorted((a, b) => a.grant.dueAt - b.grant.dueAt);
  }

  /** Counts the items that wait for a slot, or are being loaded, by the model and adapter they need. */
  countPendingByTarget(): Map<string, number> {
    const now = this.options.io.timer.now();
    const pending = new Map<string, number>();
    const add = ({ model, adapter }: ChunkGrant, count: number): void => {
      const target = formatTarget(model, adapter);
      pending.set(target, (pending.get(target) ?? 0) + count);
    };
    this.chunks.forEach((chunk) => {
      if (mayDispatch(chunk, now)) add(chunk.grant, chunk.countStartable(now));
    });
    this.loading.forEach((grant) => add(grant, grant.itemCount));
    return pending;
  }

  /** Loads the items of a granted chunk. If that fails, the grant times out at its owner. */
  async add(grant: ChunkGrant, requestedAt: number): Promise<void> {
    const { jobId, chunk, grantId } = grant;
    this.loading.set(grantId, grant);
    const content = await this.options.segments.read(grant.input);
    const items = content.andThen(parseItems);
    // The chunk was stopped while its items were being loaded.
    if (!this.loading.delete(grantId)) return;
    if (items.isErr()) {
      const { message } = items.error;
      this.options.log.write('chunk-unreadable', { job: jobId, chunk, message });
      return;
    }
    this.put(new ActiveChunk(grant, items.value, requestedAt));
  }

  put(chunk: ActiveChunk): void {
    this.chunks.set(chunk.grant.grantId, chunk);
  }

  async finish(chunk: ActiveChunk): Promise<void> {
    chunk.phase = ChunkPhase.Finishing;
    const { jobId, chunk: index } = chunk.grant;
    const status = await this.finisher.finish(chunk);
    this.chunks.delete(chunk.grant.grantId);
    this.options.log.write('chunk-finished', {
      job: jobId,
      chunk: index,
      status: status ?? 'none',
    });
  }

  stop(chunk: ActiveChunk, reason: string): void {
    const { jobId, chunk: index, grantId } = chunk.grant;
    const { phase } = chunk;
    if (phase === ChunkPhase.Stopped) return;
    chunk.phase = ChunkPhase.Stopped;
    this.chunks.delete(grantId);
    this.options.log.write('chunk-stopped', { job: jobId, chunk: index, reason });
    this.options.onStop(chunk, phase);
  }

  /** Stops a granted chunk, even if its items are still being loaded. */
  stopGrant(grantId: string, reason: string): void {
    this.loading.delete(grantId);
    const chunk = this.chunks.get(grantId);
    if (chunk !== undefined) this.stop(chunk, reason);
  }
}
