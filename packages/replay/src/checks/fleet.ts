/** Checks of records, workers and preemption. */
import { readRevision } from '../actions/operators.js';
import { EventKind, type EventOf } from '../trace/events.js';
import type { ExpectationKind, ExpectationOf } from '../trace/expectations.js';
import type { World } from '../world.js';
import { compare, compareBound, type Difference } from './difference.js';

/** A burst's requests reach their workers this long after they were sent, unless retried. */
const DISPATCH_MS = 20;

/** Of racing writes exactly one is accepted; which one is not stated. */
export const checkOneWinner = (
  world: World,
  { events }: ExpectationOf<ExpectationKind.OneWinner>,
): Difference | undefined => {
  const replies = events.map((event) => world.replies.get(event)!);
  const winners = replies.filter((reply) => readRevision(reply) !== undefined).length;
  const conflicts = replies.filter(({ status }) => status === 409).length;
  return compare({ winners: 1, conflicts: events.length - 1 }, { winners, conflicts });
};

export const checkConfigurationInForce = (
  world: World,
  { event, limitMs }: ExpectationOf<ExpectationKind.ConfigurationInForce>,
): Difference | undefined => {
  const reply = world.replies.get(event)!;
  const revision = readRevision(reply);
  if (revision === undefined) return compare({ accepted: true }, { accepted: false });
  const inForceAt = world.configuration.inForceAt(revision);
  const duration = inForceAt === undefined ? undefined : inForceAt - reply.endedAt!;
  return compareBound('inForceMs', limitMs, duration);
};

export const checkConfigurationReverts = (
  world: World,
  { count }: ExpectationOf<ExpectationKind.ConfigurationReverts>,
): Difference | undefined => compare({ count }, { count: world.configuration.reverts });

/** Time from when the VM list shows the worker as leaving to the last dispatch before its return. */
export const checkLeavingBound = (
  world: World,
  { event, limitMs }: ExpectationOf<ExpectationKind.LeavingBound>,
): Difference | undefined => {
  const { worker, at } = world.events.get(event) as EventOf<EventKind.LeaveWorker>;
  const back = [...world.events.values()].find(
    (later) => later.kind === EventKind.ReturnWorker && later.worker === worker && later.at >= at,
  );
  const shownAt = world.startedAt + at + world.header.vmListLagMs;
  const until = world.startedAt + (back?.at ?? Infinity);
  const late = world.observer.dispatches
    .filter((dispatch) => dispatch.workerId === worker && dispatch.at < until)
    .map((dispatch) => dispatch.at - shownAt);
  return compareBound('lastDispatchMs', limitMs, Math.max(0, ...late));
};

/** Time from the burst's first request until batch fits beside online on the workers it reached. */
export const checkYieldBound = (
  world: World,
  { event, limitMs }: ExpectationOf<ExpectationKind.YieldBound>,
): Difference | undefined => {
  const { at, overMs } = world.events.get(event) as EventOf<EventKind.Burst>;
  const from = world.startedAt + at;
  const reached = world.observer.dispatches.filter(({ request }) =>
    request?.startsWith(`${event}/`),
  );
  if (reached.length === 0) return compare({ dispatched: true }, { dispatched: false });
  const ends = [...new Set(reached.map(({ workerId }) => workerId))]
    .flatMap((workerId) => world.observer.meters.get(workerId)?.excesses ?? [])
    .map(({ startedAt, endedAt = Infinity }) => ({ startedAt, endedAt }))
    .filter(({ startedAt, endedAt }) => endedAt > from && startedAt <= from + overMs + DISPATCH_MS)
    .map(({ endedAt }) => endedAt - from);
  return compareBound('yieldMs', limitMs, Math.max(0, ...ends));
};
