/** Runs one attempt of an item on a worker. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import { StreamValidator } from '@jujubelanding/online';
import type { Worker } from '@jujubelanding/types';
import { err, type Result } from 'neverthrow';
import { CancelCause } from './attempt-decision.js';
import { cancelItem, type RunningItem } from './worker-slots.js';

export type RunItem = (
  worker: Worker,
  running: RunningItem,
  fence: number,
) => Promise<Result<unknown, Fault>>;

/** Creates the function that streams an attempt; received tokens are kept in the item. */
export const createItemRunner =
  (io: Pick<EntryVmIo, 'timer' | 'backendServers'>): RunItem =>
  async (worker, running, fence) => {
    const { work, chunk, requestId, abort } = running;
    const tokensBefore = work.tokens.length;
    const check = new StreamValidator(requestId, work.tokens);
    let violation: Fault | undefined;
    const { adapter } = chunk.grant;
    const end = await io.backendServers.generate(
      worker,
      {
        requestId,
        model: chunk.grant.model,
        ...(adapter === undefined ? {} : { adapter }),
        messages: work.item.messages,
        maxTokens: work.item.maxTokens,
        resumeTokens: [...work.tokens],
        fence,
      },
      (token) => {
        if (violation !== undefined || running.cause !== undefined) return;
        const verdict = check.accept(token);
        running.lastTokenAt = io.timer.now();
        if (verdict.isOk()) return;
        violation = verdict.error;
        abort.abort();
      },
      abort.signal,
    );
    if (running.cause !== undefined && end.isOk()) return check.validateEnd(end.value);
    if (violation === undefined && end.isOk()) {
      const finished = check.validateEnd(end.value);
      if (finished.isOk()) return finished;
      violation = finished.error;
    }
    if (violation === undefined) return end;
    // Tokens of a stream that violated the protocol are not used further.
    if (violation.code === FaultCode.InvalidStream) work.tokens.length = tokensBefore;
    return err({ ...violation, peer: worker.id });
  };

/** Cancels a stream that has not delivered a token for too long. */
export const cancelIfStalled = (running: RunningItem, timeoutMs: number, now: number): void => {
  if (now - running.lastTokenAt > timeoutMs) cancelItem(running, CancelCause.Stalled);
};

/** Names a fault as the reason of a failed item. */
export const formatReason = (fault: Fault): string => {
  const known = fault.outcome === Outcome.OutcomeUnknown ? ' (outcome unknown)' : '';
  return `${fault.code}: ${fault.message}${known}`;
};
