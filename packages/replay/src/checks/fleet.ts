/** Checks of records, leaving workers and the preemption of batch items. */
import { readRevision } from '../actions/operators.js';
import { EventKind, type EventOf } from '../trace/events.js';
import type { ExpectationKind, ExpectationOf } from '../trace/expectations.js';
import type { ReplayHarness } from '../replay-harness.js';
import { compareFields, compareUpperBound, type Difference } from './difference.js';

/** Time within which requests of a burst reach a worker, unless they are retried. */
const MAX_DISPATCH_DELAY_MS = 20;

/** Checks that exactly one of several concurrent writes is accepted, whichever it is. */
export const checkOneWinner = (
  harness: ReplayHarness,
  { events }: ExpectationOf<ExpectationKind.OneWinner>,
): Difference | undefined => {
  const replies = events.map((event) => harness.replies.get(event)!);
  const winners = replies.filter((reply) => readRevision(reply) !== undefined).length;
  const conflicts = replies.filter(({ status }) => status === 409).length;
  return compareFields({ winners: 1, conflicts: events.length - 1 }, { winners, conflicts });
};

export const checkConfigurationInForce = (
  harness: ReplayHarness,
  { event, limitMs }: ExpectationOf<ExpectationKind.ConfigurationInForce>,
): Difference | undefined => {
  const reply = harness.replies.get(event)!;
  const revision = readRevision(reply);
  if (revision === undefined) return compareFields({ accepted: true }, { accepted: false });
  const activatedAt = harness.configuration.getActivationTime(revision);
  const inForceMs = activatedAt === undefined ? undefined : activatedAt - reply.endedAt!;
  return compareUpperBound('inForceMs', limitMs, inForceMs);
};

export const checkConfigurationReverts = (
  harness: ReplayHarness,
  { count }: ExpectationOf<ExpectationKind.ConfigurationReverts>,
): Difference | undefined => compareFields({ count }, { count: harness.configuration.revertCount });

/** Checks the time from the VM list showing a worker as leaving to its last dispatch before its return. */
export const checkLeavingBound = (
  harness: ReplayHarness,
  { event, limitMs }: ExpectationOf<ExpectationKind.LeavingBound>,
): Difference | undefined => {
  const { worker, at } = harness.events.get(event) as EventOf<EventKind.LeaveWorker>;
  const returnEvent = [...harness.events.values()].find(
    (later) => later.kind === EventKind.ReturnWorker && later.worker === worker && later.at >= at,
  );
  const shownAt = harness.startedAt + at + harness.header.vmListLagMs;
  const until = harness.startedAt + (returnEvent?.at ?? Infinity);
  const delays = harness.observer.dispatches
    .filter((dispatch) => dispatch.workerId === worker && dispatch.at < until)
    .map((dispatch) => dispatch.at - shownAt);
  return compareUpperBound('lastDispatchMs', limitMs, Math.max(0, ...delays));
};

/** Checks the time from a burst's start until batch streams fit the free slots of the workers it reached. */
export const checkYieldBound = (
  harness: ReplayHarness,
  { event, limitMs }: ExpectationOf<ExpectationKind.YieldBound>,
): Difference | undefined => {
  const { at, overMs } = harness.events.get(event) as EventOf<EventKind.Burst>;
  const from = harness.startedAt + at;
  const dispatches = harness.observer.dispatches.filter(({ request }) =>
    request?.startsWith(`${event}/`),
  );
  if (dispatches.length === 0) return compareFields({ dispatched: true }, { dispatched: false });
  const yieldTimes = [...new Set(dispatches.map(({ workerId }) => workerId))]
    .flatMap((workerId) => harness.observer.meterByWorker.get(workerId)?.excesses ?? [])
    .map(({ startedAt, endedAt = Infinity }) => ({ startedAt, endedAt }))
    .filter(
      ({ startedAt, endedAt }) =>
        endedAt > from && startedAt <= from + overMs + MAX_DISPATCH_DELAY_MS,
    )
    .map(({ endedAt }) => endedAt - from);
  return compareUpperBound('yieldMs', limitMs, Math.max(0, ...yieldTimes));
};
