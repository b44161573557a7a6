/** In-memory disk with fault injection, for tests and simulations. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import type { Disk } from '@jujubelanding/interfaces';
import { ok } from 'neverthrow';
import { createNotRunFault, createOutcomeUnknownFault } from './faults.js';

export class MemoryDisk implements Disk {
  private files = new Map<string, Uint8Array>();

  /** Writes that are not flushed yet; a crash discards them. */
  private unflushed: { complete: () => void; discard: () => void }[] = [];

  private isFlushHeld = false;

  constructor(private capacityBytes = Number.POSITIVE_INFINITY) {}

  async write(path: string, content: Uint8Array): Reply<void> {
    if (this.usedBytes() + content.length > this.capacityBytes) {
      return createNotRunFault(FaultCode.DiskFull, 'disk-write', 'no space left on the disk');
    }
    const copy = Uint8Array.from(content);
    if (!this.isFlushHeld) {
      this.files.set(path, copy);
      return ok(undefined);
    }
    return new Promise((resolve) => {
      this.unflushed.push({
        complete: () => {
          this.files.set(path, copy);
          resolve(ok(undefined));
        },
        discard: () =>
          resolve(
            createOutcomeUnknownFault(
              FaultCode.Unavailable,
              'disk-write',
              'the disk crashed before the flush',
            ),
          ),
      });
    });
  }

  async read(path: string): Reply<Uint8Array> {
    const content = this.files.get(path);
    if (content === undefined) {
      return createNotRunFault(FaultCode.NotFound, 'disk-read', `no file ${path}`);
    }
    return ok(Uint8Array.from(content));
  }

  async remove(path: string): Reply<void> {
    this.files.delete(path);
    return ok(undefined);
  }

  async list(folder: string): Reply<string[]> {
    return ok([...this.files.keys()].filter((path) => path.startsWith(`${folder}/`)).toSorted());
  }

  /** Sets the capacity; a write that exceeds it fails with DiskFull. */
  setCapacity(bytes: number): void {
    this.capacityBytes = bytes;
  }

  /** Changes one byte of a file. */
  corrupt(path: string): void {
    const content = this.files.get(path);
    if (content === undefined || content.length === 0) return;
    const position = Math.floor(content.length / 2);
    content[position] = (content[position]! + 1) % 256;
  }

  /** Simulates the loss of a file: removes it without reporting anything. */
  dropFile(path: string): void {
    this.files.delete(path);
  }

  /** Removes all files, as after the VM was replaced. */
  dropAllFiles(): void {
    this.files.clear();
  }

  /** Keeps further writes unflushed until `releaseFlushes` or `crash`. */
  holdFlushes(): void {
    this.isFlushHeld = true;
  }

  releaseFlushes(): void {
    this.isFlushHeld = false;
    this.unflushed.splice(0).forEach((write) => write.complete());
  }

  /** Discards all unflushed writes. */
  crash(): void {
    this.isFlushHeld = false;
    this.unflushed.splice(0).forEach((write) => write.discard());
  }

  /** Returns the content of a file, or undefined instead of a fault when it does not exist. */
  peek(path: string): Uint8Array | undefined {
    return this.files.get(path);
  }

  paths(): string[] {
    return [...this.files.keys()].toSorted();
  }

  private usedBytes(): number {
    return [...this.files.values()].reduce((sum, content) => sum + content.length, 0);
  }
}
