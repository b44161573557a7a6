/** Types of the routing configuration that the operator writes. */
import type { TeamSettings } from '@jujubelanding/teams';

export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once per attempt of the caller. */
  NonIdempotent = 'non-idempotent',
  /** Answered with a stream of events. */
  Streaming = 'streaming',
  /** Submits a batch job. */
  Batch = 'batch',
}

export interface Target {
  service: string;
  /** Weight of the target relative to the other targets of the route. */
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  /** Time within which a request must be answered completely, in milliseconds. */
  timeoutMs: number;
  /** Target for the time to the response, or to its first event, in milliseconds. */
  objectiveMs: number;
  /** 0 is the highest priority. */
  priority: number;
  targets: Target[];
  /**
   * Maximum number of workers that are tried for one attempt of the caller; for batch jobs, failed
   * runs of an item.
   */
  maxAttempts: number;
  /** True if an interrupted stream may continue on another worker. */
  isResumable: boolean;
  /** True if callers need no key; matters only in a configuration with teams. */
  isPublic?: boolean;
  /** Time after the first submission of a job at which all its results are due, in milliseconds. */
  dueMs?: number;
  /** Time after the first submission of a job after which its items may be given up, in milliseconds. */
  itemLifetimeMs?: number;
  /** Maximum number of tokens of unfinished batch items on the route; no limit if absent. */
  maxQueuedTokens?: number;
}

export interface Service {
  name: string;
  /** Number of connections that one worker accepts in total. */
  maxConnections: number;
  /** Number of requests that one worker runs concurrently, if configured. */
  slots?: number;
}

/** Limits for callers. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  /** Callers reuse connections that have been idle for at most four fifths of this time. */
  idleTimeoutMs: number;
}

export interface RoutingConfiguration {
  version: number;
  routes: Route[];
  services: Service[];
  limits: CallerLimits;
  /** Without teams, callers need no keys. */
  teams?: readonly TeamSettings[];
}
