/** Snapshot of the held records on the VM's disk. */
import type { Fault } from '@jujubelanding/errors';
import type { Disk } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { ConfigurationDelta } from '@jujubelanding/peer-protocol';
import { computeChecksum } from '@jujubelanding/random';

const SNAPSHOT_FILE_PATH = 'configuration/snapshot.json';

/** Stores all held records in one file; only one write at a time is in progress. */
export class SnapshotFile {
  private saved = 0;

  private isSaving = false;

  constructor(
    private readonly disk: Disk,
    private readonly log: Log,
  ) {}

  /** Returns the revision that survives a restart. */
  savedRevision(): number {
    return this.saved;
  }

  async load(): Promise<ConfigurationDelta | undefined> {
    const read = await this.disk.read(SNAPSHOT_FILE_PATH);
    if (read.isErr()) return undefined;
    const text = new TextDecoder().decode(read.value);
    const separator = text.indexOf('\n');
    const content = text.slice(separator + 1);
    if (computeChecksum(content) !== text.slice(0, separator)) {
      this.log.write('configuration-snapshot-corrupt', { path: SNAPSHOT_FILE_PATH });
      return undefined;
    }
    const delta = JSON.parse(content) as ConfigurationDelta;
    this.saved = delta.revision;
    return delta;
  }

  /**
   * Saves until the newest state is on disk; resolves to false if a write fails. Resolves to true at once
   * if another save is in progress, because that one continues until the newest state is saved.
   */
  async save(readDelta: () => ConfigurationDelta): Promise<boolean> {
    if (this.isSaving) return true;
    this.isSaving = true;
    let fault: Fault | undefined;
    for (let delta = readDelta(); delta.revision > this.saved; delta = readDelta()) {
      fault = await this.write(delta);
      if (fault !== undefined) break;
      this.saved = delta.revision;
    }
    this.isSaving = false;
    if (fault !== undefined) {
      this.log.write('configuration-not-saved', { code: fault.code, message: fault.message });
    }
    return fault === undefined;
  }

  private async write(delta: ConfigurationDelta): Promise<Fault | undefined> {
    const content = JSON.stringify(delta);
    const text = `${computeChecksum(content)}\n${content}`;
    const written = await this.disk.write(SNAPSHOT_FILE_PATH, new TextEncoder().encode(text));
    return written.isErr() ? written.error : undefined;
  }
}
