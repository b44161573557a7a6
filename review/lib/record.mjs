/** Lines about what was sent, answered and run, written to record.txt. */
import { writeFileSync } from 'node:fs';

export class Record {
  #lines = [];

  #startedAt = Date.now();

  #isClosed = false;

  write(...words) {
    if (this.#isClosed) return;
    const seconds = ((Date.now() - this.#startedAt) / 1000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds} ${words.join(' ')}`);
  }

  /** Leaves out all further lines. */
  close() {
    this.#isClosed = true;
  }

  save(file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`);
  }
}
