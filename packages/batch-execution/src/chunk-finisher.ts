/** Stores the results of a chunk and reports them until the job owner replies. */
import type { EntryVmIo, SegmentStore } from '@jujubelanding/interfaces';
import { encodeResults } from '@jujubelanding/batch-jobs';
import type { Log } from '@jujubelanding/log';
import type { CompletionStatus } from '@jujubelanding/peer-protocol';
import { ItemStatus, type SegmentReference } from '@jujubelanding/types';
import { ChunkPhase, type ActiveChunk } from './active-chunk.js';
import type { JobOwnerClient } from './job-owner-client.js';

const INITIAL_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2000;
/** Half the grace period after which an unreferenced segment may be removed. */
const FINISH_TIMEOUT_MS = 30 * 60 * 1000;

export interface ChunkFinisherOptions {
  io: Pick<EntryVmIo, 'timer' | 'random'>;
  segments: SegmentStore;
  ownerClient: JobOwnerClient;
  log: Log;
}

export class ChunkFinisher {
  constructor(private readonly options: ChunkFinisherOptions) {}

  /** Returns the status from the owner, or undefined when the chunk was stopped or the time limit passed. */
  async finish(chunk: ActiveChunk): Promise<CompletionStatus | undefined> {
    const startedAt = this.options.io.timer.now();
    const results = chunk.listResults();
    const content = encodeResults(results);
    const failedItems = results.filter(({ status }) => status === ItemStatus.Failed).length;
    let result: SegmentReference | undefined;
    for (let failures = 0; this.shouldContinue(chunk, startedAt); failures += 1) {
      if (result === undefined) {
        const written = await this.options.segments.write(content);
        if (written.isOk()) result = written.value;
        else this.logFailure(chunk, written.error.message);
      }
      if (result !== undefined && chunk.phase !== ChunkPhase.Stopped) {
        const { shard, jobId, chunk: index, grantId } = chunk.grant;
        const completion = { shard, jobId, chunk: index, grantId, result, failedItems };
        const reply = await this.options.ownerClient.completeChunk(completion);
        if (reply.isOk()) return reply.value.status;
        this.logFailure(chunk, reply.error.message);
      }
      await this.backOff(failures);
    }
    return undefined;
  }

  private shouldContinue(chunk: ActiveChunk, startedAt: number): boolean {
    const isInTime = this.options.io.timer.now() - startedAt < FINISH_TIMEOUT_MS;
    return chunk.phase !== ChunkPhase.Stopped && isInTime;
  }

  private logFailure({ grant }: ActiveChunk, message: string): void {
    this.options.log.write('finish-failed', { job: grant.jobId, chunk: grant.chunk, message });
  }

  private backOff(failures: number): Promise<void> {
    const { timer, random } = this.options.io;
    const delay = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** failures);
    return timer.sleep(delay * (0.5 + 0.5 * random.next()));
  }
}
