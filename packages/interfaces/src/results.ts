/** Results of requests that entry VMs share to compare the workers of a service. */

/** Id of a worker or service, and its successes and failures; older ones count less. */
export type ResultCount = [id: string, successes: number, failures: number];

export interface ResultCounts {
  /** Only workers with failures; all others of a service count as free of failures. */
  workers: ResultCount[];
  /** Sums over all workers of a service. */
  services: ResultCount[];
}

/** Sums over all entry VMs, as far as this one knows them. */
export interface FleetResults extends ResultCounts {
  /** Time since the sums were received; 0 if this VM sums the counts itself. */
  ageMs: number;
}
