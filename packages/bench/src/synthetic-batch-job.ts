/** Generates an endless batch job in place of the job owners and the segment storage. */
import type { Reply } from '@jujubelanding/errors';
import type { SegmentStore } from '@jujubelanding/interfaces';
import {
  CompletionStatus,
  ProgressDecision,
  type ChunkCompletion,
  type ChunkGrant,
  type ChunkRequest,
  type ProgressReply,
  type ProgressReport,
  type SegmentItem,
} from '@jujubelanding/peer-protocol';
import type { Timer } from '@jujubelanding/timer';
import type { SegmentReference } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import { createText, drawLogNormal, type LogNormalParameters } from './distributions.js';
import { createRandomStream } from './random-stream.js';
import { MODEL_NAME } from './static-state.js';

const ITEMS_PER_CHUNK = 200;

/** Prompt lengths in characters. */
const PROMPT_CHARACTERS: LogNormalParameters = {
  median: 1500,
  sigma: 0.6,
  least: 200,
  greatest: 8000,
};
/** Response lengths in tokens. */
const RESPONSE_TOKENS: LogNormalParameters = { median: 130, sigma: 0.6, least: 10, greatest: 400 };

const DUE_IN_MS = 3_600_000;

const GRANT_TIMEOUT_MS = 3000;

/** Simulated time to read a segment from another VM. */
const SEGMENT_READ_MS = 5;

export class SyntheticBatchJob {
  private grantCount = 0;

  constructor(
    private readonly timer: Timer,
    private readonly seed: number,
  ) {}

  async requestChunk(request: ChunkRequest): Reply<{ grants: ChunkGrant[] }> {
    if (!request.models.includes(MODEL_NAME)) return ok({ grants: [] });
    const chunk = this.grantCount;
    this.grantCount += 1;
    const grant: ChunkGrant = {
      jobId: 'feed',
      shard: request.shard,
      fence: 1,
      grantId: `chunk-${chunk}`,
      chunk,
      firstItem: chunk * ITEMS_PER_CHUNK,
      itemCount: ITEMS_PER_CHUNK,
      model: MODEL_NAME,
      input: { id: String(chunk), bytes: 0, copies: [] },
      dueAt: this.timer.wallClock() + DUE_IN_MS,
      timeoutMs: GRANT_TIMEOUT_MS,
    };
    return ok({ grants: [grant] });
  }

  async reportProgress(report: ProgressReport): Reply<ProgressReply> {
    return ok({ verdicts: report.grants.map(() => ProgressDecision.Continue) });
  }

  async completeChunk(_completion: ChunkCompletion): Reply<{ status: CompletionStatus }> {
    return ok({ status: CompletionStatus.Committed });
  }

  readonly segments: SegmentStore = {
    write: async (content) => ok({ id: 'result', bytes: content.length, copies: [] }),
    read: async (reference) => {
      await this.timer.sleep(SEGMENT_READ_MS);
      return ok(this.createChunkContent(reference));
    },
  };

  private createChunkContent({ id }: SegmentReference): Uint8Array {
    const chunk = Number(id);
    const random = createRandomStream(this.seed, `chunk-${chunk}`);
    const lines = Array.from({ length: ITEMS_PER_CHUNK }, (_, position) => {
      const index = chunk * ITEMS_PER_CHUNK + position;
      const characters = Math.round(drawLogNormal(random, PROMPT_CHARACTERS));
      const item: SegmentItem = {
        index,
        itemId: `item-${index}`,
        messages: [{ role: 'user', content: `${index} ${createText(random, characters)}` }],
        maxTokens: Math.round(drawLogNormal(random, RESPONSE_TOKENS)),
      };
      return JSON.stringify(item);
    });
    return Buffer.from(lines.join('\n'));
  }
}
