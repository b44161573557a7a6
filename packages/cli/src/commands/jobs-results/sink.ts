/** Writes result lines to a file or to standard output. */
import { open, rename, rm } from 'node:fs/promises';
import type { Output } from '../../output/output.js';

export interface Sink {
  write(line: string): Promise<void>;
  /** Completes the output after its last line. */
  finish(): Promise<void>;
  /** Called instead of `finish` if the output is incomplete. */
  discard(): Promise<void>;
}

// Writing each line separately would take a system call for each of up to 570,000 results.
const FLUSH_THRESHOLD_CHARACTERS = 65_536;

/** Buffers lines and writes them in larger chunks. */
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
    // The lines received so far are complete results; the exit code reports that others are missing.
    discard: () => buffer.flush(),
  };
};

/** Writes to a temporary file and renames it at the end, so that the target is never incomplete. */
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

/** Opens a sink; throws if the file cannot be created. */
export const openSink = async (path: string | undefined, output: Output): Promise<Sink> =>
  path === undefined ? createOutputSink(output) : createFileSink(path);
