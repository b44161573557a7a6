/** Disk on the file system, below one data folder. */
import { mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises';
import path from 'node:path';
import { FaultCode, getErrorMessage, type Fault, type Reply } from '@jujubelanding/errors';
import type { Disk } from '@jujubelanding/interfaces';
import { ok, type Err } from 'neverthrow';
import { createNotRunFault } from './faults.js';

const TEMPORARY_SUFFIX = '.tmp';

const FAULT_CODE_BY_ERRNO: Record<string, FaultCode> = {
  ENOENT: FaultCode.NotFound,
  ENOSPC: FaultCode.DiskFull,
  EDQUOT: FaultCode.DiskFull,
};

const toFault = (step: string, thrown: unknown): Err<never, Fault> => {
  const code = (thrown as { code?: string }).code ?? '';
  return createNotRunFault(
    FAULT_CODE_BY_ERRNO[code] ?? FaultCode.Unavailable,
    step,
    getErrorMessage(thrown),
  );
};

const flushFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const writeFlushed = async (file: string, content: Uint8Array): Promise<void> => {
  const handle = await open(file, 'w');
  try {
    await handle.writeFile(content);
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** Writes each file atomically: to a temporary file, which is flushed and renamed into place. */
export class NodeDisk implements Disk {
  private sequence = 0;

  /** Folders whose entry in the parent folder has been flushed. */
  private readonly flushedFolders = new Set<string>();

  constructor(private readonly root: string) {}

  async write(name: string, content: Uint8Array): Reply<void> {
    const target = path.join(this.root, name);
    this.sequence += 1;
    const temporary = `${target}.${process.pid}-${this.sequence}${TEMPORARY_SUFFIX}`;
    try {
      await this.createFolder(path.dirname(target));
      await writeFlushed(temporary, content);
      await rename(temporary, target);
      await flushFolder(path.dirname(target));
      return ok(undefined);
    } catch (thrown) {
      await rm(temporary, { force: true }).catch(() => {});
      return toFault('disk-write', thrown);
    }
  }

  async read(name: string): Reply<Uint8Array> {
    try {
      return ok(await readFile(path.join(this.root, name)));
    } catch (thrown) {
      return toFault('disk-read', thrown);
    }
  }

  async remove(name: string): Reply<void> {
    try {
      await rm(path.join(this.root, name), { force: true });
      return ok(undefined);
    } catch (thrown) {
      return toFault('disk-remove', thrown);
    }
  }

  async list(folder: string): Reply<string[]> {
    try {
      const entries = await readdir(path.join(this.root, folder), {
        recursive: true,
        withFileTypes: true,
      });
      const files = entries
        .filter((entry) => entry.isFile() && !entry.name.endsWith(TEMPORARY_SUFFIX))
        .map((entry) => path.relative(this.root, path.join(entry.parentPath, entry.name)));
      return ok(files.toSorted());
    } catch (thrown) {
      if ((thrown as { code?: string }).code === 'ENOENT') return ok([]);
      return toFault('disk-list', thrown);
    }
  }

  /** Removes the temporary files of interrupted writes of an earlier process. */
  async removeTemporaryFiles(): Reply<void> {
    try {
      const entries = await readdir(this.root, { recursive: true, withFileTypes: true });
      const temporaryFiles = entries.filter(
        (entry) => entry.isFile() && entry.name.endsWith(TEMPORARY_SUFFIX),
      );
      await Promise.all(temporaryFiles.map((entry) => rm(path.join(entry.parentPath, entry.name))));
      return ok(undefined);
    } catch (thrown) {
      return toFault('disk-clean', thrown);
    }
  }

  private async createFolder(folder: string): Promise<void> {
    if (this.flushedFolders.has(folder)) return;
    const topmostCreated = await mkdir(folder, { recursive: true });
    // A new folder survives a crash only after its parent folder was flushed.
    if (topmostCreated !== undefined) {
      for (let current = folder; ; current = path.dirname(current)) {
        await flushFolder(path.dirname(current));
        if (current === topmostCreated) break;
      }
    }
    this.flushedFolders.add(folder);
  }
}
