/** Decides which waiting requests start and which are refused. Pure functions, no I/O. */

/** Share of the objective that a request waits while nothing suggests that room becomes available. */
const HOPELESS_SHARE = 0.25;

/** Tolerance of comparisons of times, in milliseconds. */
const EPSILON_MS = 1e-6;

/** What the policy knows of a request that waits. */
export interface WaitingRequest {
  team: string;
  /** 0 is the highest priority. */
  priority: number;
  /** Cost of the request. */
  tokens: number;
  arrivedAt: number;
  objectiveMs: number;
  /** Time after which the request cannot meet its objective any more. */
  startBy: number;
}

export interface QueueState<T extends WaitingRequest> {
  waiting: readonly T[];
  /** Returns the number of requests like this one that may start now. */
  roomOf: (request: T) => number;
  /** Returns the time for which there is certainly no room for a request like this one; 0 by default. */
  fullForMs?: (request: T) => number;
  now: number;
  /** Recent time between two starts; undefined while nothing suggests that room becomes available. */
  startIntervalMs: number | undefined;
  /** Served tokens by team. */
  served: ReadonlyMap<string, number>;
}

export interface QueueDecision<T> {
  /** In the order in which they start. */
  start: T[];
  refuse: T[];
}

const isBefore = (a: WaitingRequest, b: WaitingRequest, served: Map<string, number>): boolean => {
  if (a.priority !== b.priority) return a.priority < b.priority;
  const difference = (served.get(a.team) ?? 0) - (served.get(b.team) ?? 0);
  return difference === 0 ? a.arrivedAt < b.arrivedAt : difference < 0;
};

/**
 * Orders requests by priority, then by the served tokens of their teams, then by arrival. Each request in
 * the order counts as served for those after it, so a team's excess comes last among its priority.
 */
export const orderQueue = <T extends WaitingRequest>(
  waiting: readonly T[],
  served: ReadonlyMap<string, number>,
): T[] => {
  const counters = new Map(served);
  // Within a team and a priority the order is that of arrival, so only the first ones are compared.
  const lanes = new Map<string, T[]>();
  for (const request of waiting.toSorted((a, b) => a.arrivedAt - b.arrivedAt)) {
    const key = `${request.priority} ${request.team}`;
    const lane = lanes.get(key);
    if (lane === undefined) lanes.set(key, [request]);
    else lane.push(request);
  }
  const remaining = [...lanes.values()].map((requests) => ({ requests, position: 0 }));
  const ordered: T[] = [];
  while (ordered.length < waiting.length) {
    let next: (typeof remaining)[number] | undefined;
    for (const lane of remaining) {
      const head = lane.requests[lane.position];
      const best = next?.requests[next.position];
      if (head !== undefined && (best === undefined || isBefore(head, best, counters))) next = lane;
    }
    const request = next!.requests[next!.position]!;
    next!.position += 1;
    ordered.push(request);
    counters.set(request.team, (counters.get(request.team) ?? 0) + request.tokens);
  }
  return ordered;
};

const getLatestStart = (request: WaitingRequest, hasProspect: boolean): number =>
  hasProspect
    ? request.startBy
    : Math.min(request.startBy, request.arrivedAt + request.objectiveMs * HOPELESS_SHARE);

/**
 * Starts as many requests as there is room for, and refuses those that are not expected to start in time.
 * A refused request takes no place in the queue, so those behind it are expected earlier.
 */
export const decideQueue = <T extends WaitingRequest>(state: QueueState<T>): QueueDecision<T> => {
  const { waiting, roomOf, fullForMs = () => 0, now, startIntervalMs, served } = state;
  const decision: QueueDecision<T> = { start: [], refuse: [] };
  let ahead = 0;
  for (const request of orderQueue(waiting, served)) {
    const latest = getLatestStart(request, startIntervalMs !== undefined);
    const expectedAt = now + Math.max(ahead * (startIntervalMs ?? 0), fullForMs(request));
    if (ahead === 0 && decision.start.length < roomOf(request)) {
      decision.start.push(request);
    } else if (expectedAt > latest + EPSILON_MS) {
      decision.refuse.push(request);
    } else {
      ahead += 1;
    }
  }
  return decision;
};
