import type { Fault } from '@jujubelanding/errors';
import type { Team } from '@jujubelanding/teams';

/** Added to the priority of requests that cannot meet their objective any more. */
export const LATE_PRIORITY = 1_000_000;

/** Rough size of a token; costs only have to be comparable between teams. */
const BYTES_PER_TOKEN = 4;

/** Estimates the cost of a request from the size of its body. */
export const estimateTokens = (bytes: number): number => Math.ceil(bytes / BYTES_PER_TOKEN) + 1;

export interface AdmissionRequest {
  requestId: string;
  service: string;
  /** True for engines, which stream events and have queues of their own. */
  isStream: boolean;
  /** Its priority takes precedence over that of the route. */
  team?: Pick<Team, 'name' | 'priority'> | undefined;
  /** Priority of the route. */
  priority: number;
  /** Estimated cost. */
  tokens: number;
  arrivedAt: number;
  /** Monotonic time at which the caller stops waiting or the route's timeout expires. */
  deadline: number;
  objectiveMs: number;
  signal: AbortSignal;
  /** Returns a fault of outcome `not-run` if this VM stops before it could complete the request. */
  refuseByStop: () => Fault | undefined;
}

/** Load that a worker reports with a refusal. */
export interface RefusalLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** Permission to send a request once or, with `wholeRequests`, for all its attempts. */
export interface SendPermit {
  /** Workers to which the request is not sent while there are others. */
  avoided: ReadonlySet<string> | undefined;
  /** Call at the first event of an engine; further calls have no effect. */
  recordFirstEvent(): void;
  /**
   * Call when the send has ended, with the worker if it answered; not if it was refused as full.
   * `isAnswered` is stated for an answer whose worker is not known.
   */
  release(workerId?: string, isAnswered?: boolean): void;
}

/** What the room of a service may depend on. */
export interface RoomRequest {
  priority: number;
  /** True if no other request of the service waits at this VM. */
  isAlone: boolean;
  /** True if a worker has refused the request. */
  wasRefused: boolean;
  /** True if the team was served more than its fair share by this VM recently. */
  isAboveShare: boolean;
  /** True if the request has waited for room before. */
  hasWaited: boolean;
}

/** Where the room of a service comes from. */
export interface Room {
  /** Returns the number of requests like this one that may start now. */
  roomOf(request: RoomRequest): number;
  /** Returns the time for which there is certainly no room for a request like this one. */
  fullForMs(request: RoomRequest): number;
  /** Time between two starts; undefined while nothing suggests that room becomes available. */
  readonly startIntervalMs: number | undefined;
  /** Time until room may have become available. */
  readonly nextCheckMs: number;
  /** Usual time that a request needs from its start until it meets its objective. */
  readonly workMs: number;
  /** True if requests may wait longer than their objective. */
  readonly allowsLate: boolean;
  recordStart(): void;
  recordFirstEvent(elapsedMs: number): void;
  recordEnd(durationMs: number, workerId: string | undefined): void;
  /** Returns the workers that the next request is not sent to; undefined if the router chooses. */
  chooseAvoided(refusedBy: string | undefined): ReadonlySet<string> | undefined;
}
