/** Slots kept free for online requests that are about to arrive. */

export interface Reserve {
  /** Recent peak of online requests, decayed to the time of the reading. */
  peak: number;
  at: number;
  /** Slots to keep free beside those that online requests use now. */
  slots: number;
}

/**
 * Online load changes every few seconds. After 0.7 s less than a tenth of a past peak is kept, so
 * that its slots serve batch work again.
 */
const DECAY_TIME_MS = 300;
/** One free slot per 16 lets a single arrival start without waiting for a preemption. */
const SLOTS_PER_MIN_RESERVE = 16;

/** Returns the reserve after the peak has decayed towards the present load. */
export const decayReserve = (
  previous: Reserve | undefined,
  online: number,
  slots: number,
  now: number,
): Reserve => {
  const elapsed = previous === undefined ? 0 : Math.max(0, now - previous.at);
  const excess = previous === undefined ? 0 : Math.max(0, previous.peak - online);
  const peak = online + excess * Math.exp(-elapsed / DECAY_TIME_MS);
  const minimum = Math.ceil(slots / SLOTS_PER_MIN_RESERVE);
  return { peak, at: now, slots: Math.max(minimum, Math.round(peak - online)) };
};
