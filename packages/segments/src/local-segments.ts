/** Segments stored on the disk of this VM. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import type { Disk } from '@jujubelanding/interfaces';
import { computeChecksum } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { createNotRunFault } from './faults.js';

const SEGMENT_FOLDER = 'segments';
const QUARANTINE_FOLDER = 'quarantine';
const SEGMENT_ID_PATTERN = /^[0-9a-f]{64}$/;

const toPath = (segmentId: string): string => `${SEGMENT_FOLDER}/${segmentId}`;

export interface LocalSegmentsOptions {
  disk: Disk;
  timer: Timer;
  /** Called after a corrupt segment was moved to quarantine. */
  onCorrupt: (segmentId: string) => void;
}

/** Writes, reads and removes segments. Operations on the same segment are serialized. */
export class LocalSegments {
  /** Monotonic time at which this process last wrote a segment or first found it on the disk. */
  private readonly writtenAt = new Map<string, number>();

  private isScanned = false;

  private readonly queues = new Map<string, Promise<unknown>>();

  constructor(private readonly options: LocalSegmentsOptions) {}

  put(segmentId: string, content: Uint8Array): Reply<void> {
    if (computeChecksum(content) !== segmentId) {
      return Promise.resolve(
        createNotRunFault(
          FaultCode.Corrupt,
          'segment-put',
          `content does not match the checksum ${segmentId}`,
        ),
      );
    }
    return this.runSerialized(segmentId, async () => {
      const stored = await this.readVerified(segmentId);
      if (stored.isErr()) {
        const written = await this.options.disk.write(toPath(segmentId), content);
        if (written.isErr()) return written;
      }
      this.writtenAt.set(segmentId, this.options.timer.now());
      return ok(undefined);
    });
  }

  /** Marks a stored segment as just written; returns false when it is not stored. */
  async touch(segmentId: string): Promise<boolean> {
    await this.load();
    return this.runSerialized(segmentId, async () => {
      if (!this.writtenAt.has(segmentId)) return false;
      this.writtenAt.set(segmentId, this.options.timer.now());
      return true;
    });
  }

  get(segmentId: string): Reply<Uint8Array> {
    if (!SEGMENT_ID_PATTERN.test(segmentId)) {
      return Promise.resolve(
        createNotRunFault(FaultCode.NotFound, 'segment-get', 'invalid segment id'),
      );
    }
    return this.runSerialized(segmentId, () => this.readVerified(segmentId));
  }

  /** Removes a segment unless it was written or first found after the given time; true if removed. */
  removeIfOlder(segmentId: string, writtenBefore: number): Reply<boolean> {
    return this.runSerialized(segmentId, async () => {
      if (this.recordFirstSeen(segmentId) > writtenBefore) return ok(false);
      const removed = await this.options.disk.remove(toPath(segmentId));
      if (removed.isErr()) return err(removed.error);
      this.writtenAt.delete(segmentId);
      return ok(true);
    });
  }

  async list(): Reply<string[]> {
    const paths = await this.options.disk.list(SEGMENT_FOLDER);
    if (paths.isErr()) return paths;
    const ids = paths.value
      .map((path) => path.slice(SEGMENT_FOLDER.length + 1))
      .filter((id) => SEGMENT_ID_PATTERN.test(id));
    const stored = new Set(ids);
    [...this.writtenAt.keys()]
      .filter((id) => !stored.has(id))
      .forEach((id) => this.writtenAt.delete(id));
    ids.forEach((id) => this.recordFirstSeen(id));
    this.isScanned = true;
    return ok(ids);
  }

  /** Lists the segments that were last written, or first found, at or before the given time. */
  async listOlder(writtenBefore: number): Reply<string[]> {
    const ids = await this.list();
    return ids.map((list) => list.filter((id) => this.recordFirstSeen(id) <= writtenBefore));
  }

  /** Scans the disk once for segments that an earlier process wrote. */
  private async load(): Promise<void> {
    if (!this.isScanned) await this.list();
  }

  private recordFirstSeen(segmentId: string): number {
    const writtenAt = this.writtenAt.get(segmentId);
    if (writtenAt !== undefined) return writtenAt;
    const now = this.options.timer.now();
    this.writtenAt.set(segmentId, now);
    return now;
  }

  private async readVerified(segmentId: string): Reply<Uint8Array> {
    const content = await this.options.disk.read(toPath(segmentId));
    if (content.isErr()) {
      if (content.error.code === FaultCode.NotFound) this.writtenAt.delete(segmentId);
      return content;
    }
    if (computeChecksum(content.value) === segmentId) return content;
    await this.quarantine(segmentId, content.value);
    return createNotRunFault(
      FaultCode.Corrupt,
      'segment-get',
      `content does not match the checksum ${segmentId}`,
    );
  }

  private async quarantine(segmentId: string, content: Uint8Array): Promise<void> {
    // The corrupt file is removed even when the disk is too full to quarantine it for inspection.
    await this.options.disk.write(`${QUARANTINE_FOLDER}/${segmentId}`, content);
    await this.options.disk.remove(toPath(segmentId));
    this.writtenAt.delete(segmentId);
    this.options.onCorrupt(segmentId);
  }

  private runSerialized<T>(segmentId: string, operation: () => Promise<T>): Promise<T> {
    const previous = this.queues.get(segmentId) ?? Promise.resolve();
    const current = previous.then(operation, operation);
    this.queues.set(segmentId, current);
    const release = (): void => {
      if (this.queues.get(segmentId) === current) this.queues.delete(segmentId);
    };
    current.then(release, release);
    return current;
  }
}
