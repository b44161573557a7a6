/** Lines about what was sent, answered and run, written to record.txt. */
import { writeFileSync } from 'node:fs';

export class Record {
  #lines = [];

  #startedAt = Date.now();

  write(...words) {
    const seconds = ((Date.now() - this.#startedAt) / 1000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds} ${words.join(' ')}`);
  }

  save(file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`);
  }
}
