/** Start without the key-value service: a majority of the listed entry VMs must answer. */
import type { PeerAddress } from '@jujubelanding/types';

export interface Electorate {
  selfId: string;
  listed: readonly PeerAddress[];
  /** True when this VM kept what it held over the restart. */
  hasSnapshot: boolean;
}

/** Returns the VMs to ask. */
export const votersOf = ({ selfId, listed }: Electorate): PeerAddress[] =>
  listed.filter(({ entryVmId }) => entryVmId !== selfId);

/**
 * Returns how many answers are needed. A VM that kept its records counts as one answer among all. One
 * that lost them must hear a majority of the others: with it, one possible holder of the newest
 * revision is gone on both sides of the count.
 */
export const answersNeeded = (electorate: Electorate): number => {
  const others = votersOf(electorate).length;
  return electorate.hasSnapshot ? Math.floor((others + 1) / 2) : Math.floor(others / 2) + 1;
};

/** True when enough VMs answered in one round. */
export const isDecided = (electorate: Electorate, answers: number): boolean =>
  electorate.listed.length > 0 && answers >= answersNeeded(electorate);
