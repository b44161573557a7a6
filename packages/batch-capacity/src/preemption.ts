/** Selects the batch streams to cancel; pure. */

export interface BatchStream {
  requestId: string;
  /** Tokens generated so far in all attempts. */
  tokens: number;
  startedAt: number;
}

/** Returns the streams in excess of the limit, those with the least progress first. */
export const choosePreemptions = <T extends BatchStream>(
  streams: readonly T[],
  limit: number,
): T[] =>
  streams
    .toSorted((a, b) => a.tokens - b.tokens || b.startedAt - a.startedAt)
    .slice(0, Math.max(0, streams.length - limit));
