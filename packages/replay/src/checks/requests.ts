/** Checks of online requests. */
import { readAnswer, parseEventStream, readOutcome, ReplyKind } from '../caller.js';
import { RequestOutcome, type ExpectationKind, type ExpectationOf } from '../trace/expectations.js';
import { EventKind, type EventOf } from '../trace/events.js';
import type { ReplayHarness } from '../replay-harness.js';
import { compareFields, compareUpperBound, type Difference } from './difference.js';

type Check<K extends ExpectationKind> = (
  world: ReplayHarness,
  expectation: ExpectationOf<K>,
) => Difference | undefined;

export const checkOutcome: Check<ExpectationKind.Outcome> = (
  world,
  { event, outcome, status, answer },
) => {
  const reply = world.replies.get(event)!;
  const expected = { outcome, status, answer };
  return compareFields(expected, {
    outcome: readOutcome(reply),
    status: reply.status,
    answer: readAnswer(reply),
  });
};

const listBurstReplies = (world: ReplayHarness, event: string) =>
  [...world.replies].filter(([name]) => name.startsWith(`${event}/`)).map(([, reply]) => reply);

/** Counts the requests with a whole answer of the stated length. */
export const checkBurst: Check<ExpectationKind.Burst> = (
  world,
  { event, succeeded, tokensEach },
) => {
  const complete = listBurstReplies(world, event).filter(
    (reply) =>
      readOutcome(reply) === RequestOutcome.Succeeded &&
      parseEventStream(reply.body).tokenCount === tokensEach,
  );
  return compareFields({ succeeded }, { succeeded: complete.length });
};

export const checkFirstToken: Check<ExpectationKind.FirstToken> = (
  world,
  { percentile, limitMs },
) => {
  const streamed = new Set(
    [...world.events.values()]
      .filter((event) => event.kind === EventKind.Chat && event.stream)
      .map(({ id }) => id),
  );
  const times = [...world.replies]
    .filter(([name, reply]) => {
      const isStreamed = streamed.has(name) || name.includes('/');
      return (
        isStreamed &&
        !/^(header|end)\//.test(name) &&
        readOutcome(reply) === RequestOutcome.Succeeded
      );
    })
    .map(([, { sentAt, firstPartAt }]) => (firstPartAt ?? Infinity) - sentAt)
    .toSorted((a, b) => a - b);
  const rank = Math.ceil((percentile / 100) * times.length) - 1;
  return compareUpperBound(`firstTokenP${percentile}Ms`, limitMs, times[rank]);
};

export const checkExecutions: Check<ExpectationKind.Executions> = (world, { key, atMost }) => {
  const executions = world.observer.dispatches.filter((dispatch) => dispatch.key === key);
  return compareUpperBound('executions', atMost, executions.length);
};

/** Counts requests that were refused as `not-run` and reached a worker nevertheless. */
export const checkNotRunExecutions: Check<ExpectationKind.NotRunExecutions> = (
  world,
  { count },
) => {
  const refused = [...world.replies].filter(
    ([, reply]) =>
      reply.kind === ReplyKind.Answered && readOutcome(reply) === RequestOutcome.NotRun,
  );
  const ran = refused.filter(([name]) => world.observer.listByRequest(name).length > 0);
  return compareFields({ count }, { count: ran.length });
};

/** A stop cuts off a request that it leaves without a whole response. */
export const checkPlannedStop: Check<ExpectationKind.PlannedStop> = (world, { event, cutOff }) => {
  const { entryVm } = world.events.get(event) as EventOf<EventKind.StopEntryVm>;
  const unfinished = [...world.replies].filter(([name, reply]) => {
    if (world.entryVmByRequest.get(name) !== entryVm) return false;
    return reply.kind === ReplyKind.Broken || readOutcome(reply) === RequestOutcome.Pending;
  });
  return compareFields(
    { cutOff, hasStopped: true },
    { cutOff: unfinished.length, hasStopped: world.stopped.has(event) },
  );
};
