/** What the operator's configuration says about requests. */

export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each attempt of the caller. */
  NonIdempotent = 'non-idempotent',
  /** Answered with a series of events. */
  Streaming = 'streaming',
  /** Submissions of batch jobs. */
  Batch = 'batch',
}

export interface Target {
  service: string;
  /** Share of the route's requests relative to the other targets. */
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Time after which a request must have its final answer, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer, or its first event, is on time, in milliseconds. */
  objectiveMs: number;
  /** 0 is the most urgent. */
  priority: number;
  targets: Target[];
  /** Largest number of workers on which one attempt of the caller may run. */
  maxAttempts: number;
  /** True where a broken stream may continue on another worker. */
  isResumable: boolean;
  /** Time after the first submission of a job in which all its results are due. */
  dueMs?: number;
  /** Time after the first submission of a job after which its items may be given up. */
  itemLifetimeMs?: number;
}

export interface Service {
  name: string;
  /** Connections that one worker accepts from all callers together. */
  maxConnections: number;
  /** Requests that one worker runs at a time, where the configuration says so. */
  slots?: number;
}

/** What a caller may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  /** Callers reuse connections that were idle for up to four fifths of this time. */
  idleTimeoutMs: number;
}

export interface RoutingConfiguration {
  version: number;
  routes: Route[];
  services: Service[];
  limits: CallerLimits;
}
