/** A group of callers that share keys, a priority and a request limit. */
export interface Team {
  name: string;
  /** 0 is the highest priority; absent if the priorities of the routes apply. */
  priority?: number;
  /** Requests per second over all entry VMs; no limit if absent. */
  requestsPerSecond?: number;
  /** Requests that may come at once in addition to the rate. */
  burst?: number;
}

/** A team of a configuration, with the digests of its keys. */
export interface TeamSettings extends Team {
  keyDigests: readonly string[];
}
