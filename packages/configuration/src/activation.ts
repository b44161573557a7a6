/** Decides which held revision may be activated. */
import { type Member, MemberState, type PeerAddress } from '@jujubelanding/types';
import type { RecordBatch } from './replica.js';

/** Time that other VMs have to receive a confirmed revision before any VM activates it. */
export const CONFIRMED_ACTIVATION_DELAY_MS = 1500;

export enum ActivationCause {
  Majority = 'majority',
  /** Confirmed by the key-value service. */
  Confirmed = 'confirmed',
  /** Already active on another VM. */
  ActiveElsewhere = 'in-force-elsewhere',
}

export interface ActivationInput {
  pending: readonly RecordBatch[];
  selfId: string;
  /** Revision that this VM holds durably enough to count towards a majority. */
  heldRevision: number;
  confirmedRevision: number;
  members: readonly Member[];
  /** Entry VMs on the VM list; they count towards a majority even if they are not alive. */
  listed: readonly PeerAddress[];
  now: number;
}

export interface Activation {
  revision: number;
  cause: ActivationCause;
}

/**
 * Returns the highest revision that a majority holds. Besides the live members all listed VMs count,
 * because a VM that starts without the key-value service asks a majority of the listed VMs.
 */
export const findMajorityRevision = (input: ActivationInput): number => {
  const held = new Map(input.listed.map(({ entryVmId }) => [entryVmId, 0]));
  input.members.forEach(({ entryVmId, heldRevision }) => held.set(entryVmId, heldRevision));
  held.set(input.selfId, input.heldRevision);
  const sorted = [...held.values()].toSorted((a, b) => b - a);
  return sorted[Math.floor(sorted.length / 2)]!;
};

/**
 * Returns the highest revision that is active on another VM. That VM activated it by one of the other
 * rules, so activating it here is safe. Without this rule, every VM of a large fleet would have to ask
 * the key-value service.
 */
const findRevisionActiveElsewhere = ({ members, selfId }: ActivationInput): number =>
  members
    .filter(({ entryVmId, state }) => entryVmId !== selfId && state !== MemberState.Dead)
    .reduce((highest, { activeRevision }) => Math.max(highest, activeRevision), 0);

const findConfirmedRevision = ({
  pending,
  confirmedRevision: limit,
  now,
}: ActivationInput): number =>
  pending
    .filter(
      ({ revision, heldAt }) => revision <= limit && now - heldAt >= CONFIRMED_ACTIVATION_DELAY_MS,
    )
    .reduce((highest, { revision }) => Math.max(highest, revision), 0);

/** Returns the highest pending revision that may be activated. */
export const decideActivation = (input: ActivationInput): Activation | undefined => {
  if (input.pending.length === 0) return undefined;
  const candidates: [ActivationCause, number][] = [
    [ActivationCause.Majority, findMajorityRevision(input)],
    [ActivationCause.Confirmed, findConfirmedRevision(input)],
    [ActivationCause.ActiveElsewhere, findRevisionActiveElsewhere(input)],
  ];
  const [cause, limit] = candidates.reduce((best, next) => (next[1] > best[1] ? next : best));
  const batch = input.pending.findLast(({ revision }) => revision <= limit);
  return batch === undefined ? undefined : { revision: batch.revision, cause };
};
