/** Start without the key-value service: a majority of the listed entry VMs must answer. */
import type { PeerAddress } from '@jujubelanding/types';

export interface QuorumSettings {
  selfId: string;
  listed: readonly PeerAddress[];
  /** True when this VM kept what it held over the restart. */
  hasSnapshot: boolean;
}

/** Returns the VMs to ask. */
export const peersToAsk = ({ selfId, listed }: QuorumSettings): PeerAddress[] =>
  listed.filter(({ entryVmId }) => entryVmId !== selfId);

/**
 * Returns how many answers are needed. A VM that kept its records counts as one answer among all. One
 * that lost them must hear a majority of the others: with it, one possible holder of the newest
 * revision is gone on both sides of the count.
 */
export const requiredAnswers = (settings: QuorumSettings): number => {
  const others = peersToAsk(settings).length;
  return settings.hasSnapshot ? Math.floor((others + 1) / 2) : Math.floor(others / 2) + 1;
};

/** True when enough VMs answered in one round. */
export const hasQuorum = (settings: QuorumSettings, answers: number): boolean =>
  settings.listed.length > 0 && answers >= requiredAnswers(settings);
