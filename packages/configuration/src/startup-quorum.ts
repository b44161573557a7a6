/**
 * Startup without the key-value service requires answers from a majority of the listed entry VMs.
 */
import type { PeerAddress } from '@jujubelanding/types';

export interface QuorumSettings {
  selfId: string;
  listed: readonly PeerAddress[];
  /** True if this VM still has the records that it held before the restart. */
  hasSnapshot: boolean;
}

/** Returns the VMs to query. */
export const listOtherVms = ({ selfId, listed }: QuorumSettings): PeerAddress[] =>
  listed.filter(({ entryVmId }) => entryVmId !== selfId);

/**
 * Returns the number of required answers. A VM that kept its records counts as one answer of a majority
 * of all VMs. A VM that lost its records may have been a holder of the newest revision, so it counts
 * neither as an answer nor among the VMs of which a majority must answer.
 */
export const countRequiredAnswers = (settings: QuorumSettings): number => {
  const others = listOtherVms(settings).length;
  return settings.hasSnapshot ? Math.floor((others + 1) / 2) : Math.floor(others / 2) + 1;
};

/** True if enough VMs answered in one round. */
export const hasQuorum = (settings: QuorumSettings, answers: number): boolean =>
  settings.listed.length > 0 && answers >= countRequiredAnswers(settings);
