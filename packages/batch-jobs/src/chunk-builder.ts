/** Splits the items of a job into chunks of JSON lines. */
import type { SegmentItem } from '@jujubelanding/peer-protocol';
import type { BatchItem } from '@jujubelanding/types';

const MIN_CHUNK_ITEMS = 200;
const MAX_CHUNK_ITEMS = 2000;
/** Chunk sizes grow with the job, so that 570,000 items need only about 300 chunks. */
const GROWTH_DIVISOR = 8;
/** Parsing a larger chunk in one step would delay the online streams of the same process. */
const MAX_CHUNK_BYTES = 2 * 1024 * 1024;

const getTargetItemCount = (acceptedItems: number): number =>
  Math.min(MAX_CHUNK_ITEMS, Math.max(MIN_CHUNK_ITEMS, Math.floor(acceptedItems / GROWTH_DIVISOR)));

export interface BuiltChunk {
  firstItem: number;
  itemCount: number;
  /** One JSON line per item. */
  content: Uint8Array;
}

/** Collects items and returns a chunk each time one is full. */
export class ChunkBuilder {
  private lines: string[] = [];

  private bytes = 0;

  private firstItem = 0;

  private nextItem = 0;

  get itemCount(): number {
    return this.nextItem;
  }

  add(item: BatchItem): BuiltChunk | undefined {
    const { itemId, messages, maxTokens } = item;
    const line: SegmentItem = { index: this.nextItem, itemId, messages, maxTokens };
    const text = `${JSON.stringify(line)}\n`;
    this.lines.push(text);
    this.bytes += Buffer.byteLength(text);
    this.nextItem += 1;
    const isFull =
      this.lines.length >= getTargetItemCount(this.firstItem) || this.bytes >= MAX_CHUNK_BYTES;
    return isFull ? this.finish() : undefined;
  }

  /** Returns the remaining items as the last chunk, if there are any. */
  finish(): BuiltChunk | undefined {
    if (this.lines.length === 0) return undefined;
    const chunk = {
      firstItem: this.firstItem,
      itemCount: this.lines.length,
      content: Buffer.from(this.lines.join('')),
    };
    this.lines = [];
    this.bytes = 0;
    this.firstItem = this.nextItem;
    return chunk;
  }
}
