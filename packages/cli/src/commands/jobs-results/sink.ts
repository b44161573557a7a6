/** Where result lines go: a file or standard output. */
import { open, rename, rm } from 'node:fs/promises';
import type { Output } from '../../output/output.js';

export interface Sink {
  write(line: string): Promise<void>;
  /** Called after the last line of a complete output. */
  finish(): Promise<void>;
  /** Called instead of `finish` when the output is incomplete. */
  discard(): Promise<void>;
}

// One write per line would cost a system call for each of up to 570,000 results.
const FLUSH_THRESHOLD_CHARACTERS = 65_536;

/** Collects lines and passes them on in larger pieces. */
class LineBuffer {
  #pending = '';

  constructor(private readonly writeText: (text: string) => Promise<void>) {}

  async add(line: string): Promise<void> {
    this.#pending += `${line}\n`;
    if (this.#pending.length >= FLUSH_THRESHOLD_CHARACTERS) await this.flush();
  }

  async flush(): Promise<void> {
    const text = this.#pending;
    this.#pending = '';
    await this.writeText(text);
  }
}

const createOutputSink = (output: Output): Sink => {
  const buffer = new LineBuffer((text) => {
    output.write(text);
    return output.drain();
  });
  return {
    write: (line) => buffer.add(line),
    finish: () => buffer.flush(),
    // Lines that have arrived are whole results; the exit code tells that others are missing.
    discard: () => buffer.flush(),
  };
};

/** Writes beside the target and renames at the end, so that a file is never incomplete. */
const createFileSink = async (path: string): Promise<Sink> => {
  const partialPath = `${path}.partial`;
  const handle = await open(partialPath, 'w');
  const buffer = new LineBuffer((text) => handle.writeFile(text));
  return {
    write: (line) => buffer.add(line),
    finish: async () => {
      await buffer.flush();
      await handle.sync();
      await handle.close();
      await rename(partialPath, path);
    },
    discard: async () => {
      await handle.close();
      await rm(partialPath, { force: true });
    },
  };
};

/** Opens a sink; throws when the file cannot be created. */
export const openSink = async (path: string | undefined, output: Output): Promise<Sink> =>
  path === undefined ? createOutputSink(output) : createFileSink(path);
