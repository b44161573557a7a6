/** Merge rules for member entries. */
import { type Member, MemberState } from '@jujubelanding/types';
import { getEpoch, computeNextEpoch } from './incarnation.js';

/** Within an epoch the state only advances in this order. */
const STATE_RANK: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Leaving]: 1,
  [MemberState.Suspect]: 2,
  [MemberState.Dead]: 3,
};

export const isSuspectOrDead = ({ state }: Member): boolean =>
  state === MemberState.Suspect || state === MemberState.Dead;

/**
 * Merges an update into the existing entry of the same VM. An entry of a higher epoch replaces one of a
 * lower epoch. Within an epoch the result has the data of the newer version and the more advanced
 * state. Returns the existing entry itself if the update contains nothing new.
 */
export const mergeMember = (existing: Member, update: Member): Member => {
  const existingEpoch = getEpoch(existing.incarnation);
  const updateEpoch = getEpoch(update.incarnation);
  if (updateEpoch !== existingEpoch) return updateEpoch > existingEpoch ? update : existing;
  const newer = update.incarnation > existing.incarnation ? update : existing;
  const state =
    STATE_RANK[update.state] > STATE_RANK[existing.state] ? update.state : existing.state;
  if (newer === existing && state === existing.state) return existing;
  return { ...newer, state };
};

/** True if a received entry about this VM contradicts its own state. */
const contradictsSelf = (self: Member, update: Member): boolean => {
  if (update.bootId !== self.bootId) return update.incarnation >= self.incarnation;
  return isSuspectOrDead(update) && getEpoch(update.incarnation) >= getEpoch(self.incarnation);
};

/** Returns this VM's own entry, with a higher epoch if it has to refute the update. */
export const refute = (self: Member, update: Member): Member =>
  contradictsSelf(self, update)
    ? {
        ...self,
        incarnation: Math.max(
          computeNextEpoch(update.incarnation),
          computeNextEpoch(self.incarnation),
        ),
      }
    : self;
