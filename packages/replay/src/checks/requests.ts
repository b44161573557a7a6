/** Checks of online requests. */
import { readAnswer, parseEventStream, readOutcome, ReplyKind } from '../caller.js';
import { RequestOutcome, type ExpectationKind, type ExpectationOf } from '../trace/expectations.js';
import { EventKind, type EventOf } from '../trace/events.js';
import type { ReplayHarness } from '../replay-harness.js';
import { compareFields, compareUpperBound, type Difference } from './difference.js';

type Check<K extends ExpectationKind> = (
  harness: ReplayHarness,
  expectation: ExpectationOf<K>,
) => Difference | undefined;

export const checkOutcome: Check<ExpectationKind.Outcome> = (
  harness,
  { event, outcome, status, answer },
) => {
  const reply = harness.replies.get(event)!;
  const expected = { outcome, status, answer };
  return compareFields(expected, {
    outcome: readOutcome(reply),
    status: reply.status,
    answer: readAnswer(reply),
  });
};

const listBurstReplies = (harness: ReplayHarness, event: string) =>
  [...harness.replies].filter(([name]) => name.startsWith(`${event}/`)).map(([, reply]) => reply);

/** Checks how many requests of a burst got a complete answer of the expected length. */
export const checkBurst: Check<ExpectationKind.Burst> = (
  harness,
  { event, succeeded, tokensEach },
) => {
  const complete = listBurstReplies(harness, event).filter(
    (reply) =>
      readOutcome(reply) === RequestOutcome.Succeeded &&
      parseEventStream(reply.body).tokenCount === tokensEach,
  );
  return compareFields({ succeeded }, { succeeded: complete.length });
};

/**
 * Checks a percentile of the time to the first token over the streamed chats and bursts that
 * succeeded. Requests of a burst have a slash in their name; `header/` and `end/` mark the harness's
 * own requests.
 */
export const checkFirstToken: Check<ExpectationKind.FirstToken> = (
  harness,
  { percentile, limitMs },
) => {
  const streamed = new Set(
    [...harness.events.values()]
      .filter((event) => event.kind === EventKind.Chat && event.stream)
      .map(({ id }) => id),
  );
  const times = [...harness.replies]
    .filter(([name, reply]) => {
      const isStreamed = streamed.has(name) || name.includes('/');
      return (
        isStreamed &&
        !/^(header|end)\//.test(name) &&
        readOutcome(reply) === RequestOutcome.Succeeded
      );
    })
    .map(([, { sentAt, firstByteAt }]) => (firstByteAt ?? Infinity) - sentAt)
    .toSorted((a, b) => a - b);
  const rank = Math.ceil((percentile / 100) * times.length) - 1;
  return compareUpperBound(`firstTokenP${percentile}Ms`, limitMs, times[rank]);
};

export const checkExecutions: Check<ExpectationKind.Executions> = (harness, { key, atMost }) => {
  const executions = harness.observer.dispatches.filter((dispatch) => dispatch.key === key);
  return compareUpperBound('executions', atMost, executions.length);
};

/** Checks how many requests were refused as `not-run` although they reached a worker. */
export const checkNotRunExecutions: Check<ExpectationKind.NotRunExecutions> = (
  harness,
  { count },
) => {
  const refused = [...harness.replies].filter(
    ([, reply]) =>
      reply.kind === ReplyKind.Answered && readOutcome(reply) === RequestOutcome.NotRun,
  );
  const ran = refused.filter(([name]) => harness.observer.listByRequest(name).length > 0);
  return compareFields({ count }, { count: ran.length });
};

/** Checks that a planned stop completes, and how many requests it leaves without a complete response. */
export const checkPlannedStop: Check<ExpectationKind.PlannedStop> = (
  harness,
  { event, cutOff },
) => {
  const { entryVm } = harness.events.get(event) as EventOf<EventKind.StopEntryVm>;
  const unfinished = [...harness.replies].filter(([name, reply]) => {
    if (harness.entryVmByRequest.get(name) !== entryVm) return false;
    return reply.kind === ReplyKind.Broken || readOutcome(reply) === RequestOutcome.Pending;
  });
  return compareFields(
    { cutOff, hasStopped: true },
    { cutOff: unfinished.length, hasStopped: harness.stopped.has(event) },
  );
};
