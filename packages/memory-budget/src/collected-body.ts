/** Pieces up to this size are copied together, because each kept piece costs an object besides its bytes. */
const MAX_COPIED_BYTES = 4096;

/** Size of the buffers that small pieces are copied into; smaller at the start of a body. */
const MAX_BLOCK_BYTES = 65_536;

const MIN_BLOCK_BYTES = 1024;

/** Memory of a buffer object besides its bytes. */
const OBJECT_BYTES = 256;

/** The received part of a body. */
export class CollectedBody {
  /** Bytes received. */
  size = 0;

  /** Memory taken. */
  cost = 0;

  private readonly pieces: Uint8Array[] = [];

  /** Buffer that small pieces are copied into; it is the last of the pieces once it is full. */
  private block: Uint8Array | undefined;

  private blockBytes = 0;

  add(piece: Uint8Array): void {
    const isCopied = this.size > 0 && piece.length <= MAX_COPIED_BYTES;
    this.size += piece.length;
    if (isCopied) this.copy(piece);
    else this.keep(piece);
  }

  /** Returns the whole body and forgets its pieces. */
  join(): Buffer {
    this.closeBlock();
    const body = Buffer.concat(this.pieces, this.size);
    this.clear();
    return body;
  }

  clear(): void {
    this.pieces.length = 0;
    this.block = undefined;
    this.blockBytes = 0;
    this.cost = 0;
  }

  private keep(piece: Uint8Array): void {
    this.closeBlock();
    this.pieces.push(piece);
    // A piece keeps the buffer alive that it is a part of.
    this.cost += Math.max(piece.length, Math.min(piece.buffer.byteLength, MAX_BLOCK_BYTES));
    this.cost += OBJECT_BYTES;
  }

  private copy(piece: Uint8Array): void {
    let copied = 0;
    while (copied < piece.length) {
      const block = this.openBlock();
      const bytes = Math.min(piece.length - copied, block.length - this.blockBytes);
      block.set(piece.subarray(copied, copied + bytes), this.blockBytes);
      this.blockBytes += bytes;
      copied += bytes;
      if (this.blockBytes === block.length) this.closeBlock();
    }
  }

  private openBlock(): Uint8Array {
    if (this.block !== undefined) return this.block;
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.size));
    this.block = Buffer.allocUnsafeSlow(bytes);
    this.blockBytes = 0;
    this.cost += bytes + OBJECT_BYTES;
    return this.block;
  }

  private closeBlock(): void {
    if (this.block === undefined) return;
    this.pieces.push(this.block.subarray(0, this.blockBytes));
    this.block = undefined;
  }
}
