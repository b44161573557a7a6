/** Where result lines go: a file or standard output. */
import { type FileHandle, open, rename, rm } from 'node:fs/promises';
import type { Output } from '../../output/output.js';

export interface Sink {
  write(line: string): Promise<void>;
  /** Called after the last line of a complete output. */
  finish(): Promise<void>;
  /** Called instead of `finish` when the output is incomplete. */
  discard(): Promise<void>;
}

const createOutputSink = (output: Output): Sink => ({
  write: async (line) => {
    output.write(`${line}\n`);
    await output.drain();
  },
  finish: () => output.drain(),
  discard: () => output.drain(),
});

const FLUSH_CHARACTERS = 65_536;

/** Writes beside the target and renames at the end, so that a file is never incomplete. */
class FileSink implements Sink {
  #pending = '';

  constructor(
    private readonly path: string,
    private readonly handle: FileHandle,
  ) {}

  async write(line: string): Promise<void> {
    this.#pending += `${line}\n`;
    if (this.#pending.length >= FLUSH_CHARACTERS) await this.#flush();
  }

  async finish(): Promise<void> {
    await this.#flush();
    await this.handle.sync();
    await this.handle.close();
    await rename(FileSink.partialPath(this.path), this.path);
  }

  async discard(): Promise<void> {
    await this.handle.close();
    await rm(FileSink.partialPath(this.path), { force: true });
  }

  async #flush(): Promise<void> {
    const text = this.#pending;
    this.#pending = '';
    await this.handle.writeFile(text);
  }

  static partialPath(path: string): string {
    return `${path}.partial`;
  }
}

/** Opens a sink; throws when the file cannot be created. */
export const openSink = async (path: string | undefined, output: Output): Promise<Sink> =>
  path === undefined
    ? createOutputSink(output)
    : new FileSink(path, await open(FileSink.partialPath(path), 'w'));
