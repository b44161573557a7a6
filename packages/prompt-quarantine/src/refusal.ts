/** Faults with which requests are refused. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Block } from './block-list.js';
import { isRequestKey } from './request-key.js';

/** The decision is made at the first check after the time until it, so the caller comes after that. */
const MIN_SUSPENSION_MS = 1000;

const createFault = (message: string, retryAfterMs: number): Fault => ({
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step: 'prompt-quarantine',
  message,
  retryAfterMs,
});

const describe = ({ parts }: Block): string =>
  isRequestKey(parts[0]!)
    ? 'workers crash when they run this request, which is blocked'
    : `workers crash on prompts with ${parts.join(' and ')}, which are blocked`;

export const createBlockFault = (block: Block, remainingMs: number): Fault =>
  createFault(describe(block), remainingMs);

/** The fault until it is decided whether a request under which workers crashed is blocked. */
export const createSuspensionFault = (undecidedMs: number): Fault =>
  createFault(
    'workers crashed while they ran this request',
    Math.max(undecidedMs, MIN_SUSPENSION_MS),
  );
