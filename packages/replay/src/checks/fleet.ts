/** Checks of records, workers and preemption. */
import { readRevision } from '../actions/operators.js';
import { EventKind, type EventOf } from '../trace/events.js';
import type { ExpectationKind, ExpectationOf } from '../trace/expectations.js';
import type { ReplayHarness } from '../replay-harness.js';
import { compareFields, compareUpperBound, type Difference } from './difference.js';

/** A burst's requests reach their workers this long after they were sent, unless retried. */
const MAX_DISPATCH_DELAY_MS = 20;

/** Of racing writes exactly one is accepted; which one is not stated. */
export const checkOneWinner = (
  world: ReplayHarness,
  { events }: ExpectationOf<ExpectationKind.OneWinner>,
): Difference | undefined => {
  const replies = events.map((event) => world.replies.get(event)!);
  const winners = replies.filter((reply) => readRevision(reply) !== undefined).length;
  const conflicts = replies.filter(({ status }) => status === 409).length;
  return compareFields({ winners: 1, conflicts: events.length - 1 }, { winners, conflicts });
};

export const checkConfigurationInForce = (
  world: ReplayHarness,
  { event, limitMs }: ExpectationOf<ExpectationKind.ConfigurationInForce>,
): Difference | undefined => {
  const reply = world.replies.get(event)!;
  const revision = readRevision(reply);
  if (revision === undefined) return compareFields({ accepted: true }, { accepted: false });
  const inForceAt = world.configuration.getActivationTime(revision);
  const duration = inForceAt === undefined ? undefined : inForceAt - reply.endedAt!;
  return compareUpperBound('inForceMs', limitMs, duration);
};

export const checkConfigurationReverts = (
  world: ReplayHarness,
  { count }: ExpectationOf<ExpectationKind.ConfigurationReverts>,
): Difference | undefined => compareFields({ count }, { count: world.configuration.revertCount });

/** Time from when the VM list shows the worker as leaving to the last dispatch before its return. */
export const checkLeavingBound = (
  world: ReplayHarness,
  { event, limitMs }: ExpectationOf<ExpectationKind.LeavingBound>,
): Difference | undefined => {
  const { worker, at } = world.events.get(event) as EventOf<EventKind.LeaveWorker>;
  const returnEvent = [...world.events.values()].find(
    (later) => later.kind === EventKind.ReturnWorker && later.worker === worker && later.at >= at,
  );
  const shownAt = world.startedAt + at + world.header.vmListLagMs;
  const until = world.startedAt + (returnEvent?.at ?? Infinity);
  const delays = world.observer.dispatches
    .filter((dispatch) => dispatch.workerId === worker && dispatch.at < until)
    .map((dispatch) => dispatch.at - shownAt);
  return compareUpperBound('lastDispatchMs', limitMs, Math.max(0, ...delays));
};

/** Time from the burst's first request until batch fits beside online on the workers it reached. */
export const checkYieldBound = (
  world: ReplayHarness,
  { event, limitMs }: ExpectationOf<ExpectationKind.YieldBound>,
): Difference | undefined => {
  const { at, overMs } = world.events.get(event) as EventOf<EventKind.Burst>;
  const from = world.startedAt + at;
  const burstDispatches = world.observer.dispatches.filter(({ request }) =>
    request?.startsWith(`${event}/`),
  );
  if (burstDispatches.length === 0) {
    return compareFields({ dispatched: true }, { dispatched: false });
  }
  const yieldTimes = [...new Set(burstDispatches.map(({ workerId }) => workerId))]
    .flatMap((workerId) => world.observer.meterByWorker.get(workerId)?.excesses ?? [])
    .map(({ startedAt, endedAt = Infinity }) => ({ startedAt, endedAt }))
    .filter(
      ({ startedAt, endedAt }) =>
        endedAt > from && startedAt <= from + overMs + MAX_DISPATCH_DELAY_MS,
    )
    .map(({ endedAt }) => endedAt - from);
  return compareUpperBound('yieldMs', limitMs, Math.max(0, ...yieldTimes));
};
