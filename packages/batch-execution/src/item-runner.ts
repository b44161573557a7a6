/** Runs one attempt at an item on a worker. */
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

/** Creates the function that streams an attempt. Received tokens are kept in the state of the item. */
export const createItemRunner =
  (io: Pick<EntryVmIo, 'timer' | 'backendServers'>): RunItem =>
  async (worker, running, fence) => {
    const { state, chunk, requestId, abort } = running;
    const tokensBefore = state.tokens.length;
    const validator = new StreamValidator(requestId, state.tokens);
    let violation: Fault | undefined;
    const { adapter } = chunk.grant;
    const end = await io.backendServers.generate(
      worker,
      {
        requestId,
        model: chunk.grant.model,
        ...(adapter === undefined ? {} : { adapter }),
        messages: state.item.messages,
        maxTokens: state.item.maxTokens,
        resumeTokens: [...state.tokens],
        fence,
      },
      (token) => {
        if (violation !== undefined || running.cause !== undefined) return;
        const accepted = validator.accept(token);
        running.lastTokenAt = io.timer.now();
        state.refusals.reset();
        if (accepted.isOk()) return;
        violation = accepted.error;
        abort.abort();
      },
      abort.signal,
    );
    if (running.cause !== undefined && end.isOk()) return validator.validateEnd(end.value);
    if (violation === undefined && end.isOk()) {
      const finished = validator.validateEnd(end.value);
      if (finished.isOk()) return finished;
      violation = finished.error;
    }
    if (violation === undefined) return end;
    // Tokens of a stream that violated the protocol are discarded.
    if (violation.code === FaultCode.InvalidStream) state.tokens.length = tokensBefore;
    return err({ ...violation, peer: worker.id });
  };

/** Cancels a stream that has not delivered a token within the timeout. */
export const cancelIfStalled = (running: RunningItem, timeoutMs: number, now: number): void => {
  if (now - running.lastTokenAt > timeoutMs) cancelItem(running, CancelCause.Stalled);
};

/** Formats a fault as the failure reason of an item. */
export const formatReason = (fault: Fault): string => {
  const suffix = fault.outcome === Outcome.OutcomeUnknown ? ' (outcome unknown)' : '';
  return `${fault.code}: ${fault.message}${suffix}`;
};
