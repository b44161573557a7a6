/** Merge rules for member entries. */
import { type Member, MemberState } from '@jujubelanding/types';
import { epochOf, nextEpoch } from './incarnation.js';

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
 * Merges an update into the held entry of the same VM. An entry of a higher epoch replaces one of a
 * lower epoch. Within an epoch the result has the data of the newer version and the more advanced
 * state. Returns the held entry itself if the update contains nothing new.
 */
export const mergeMember = (held: Member, update: Member): Member => {
  const heldEpoch = epochOf(held.incarnation);
  const updateEpoch = epochOf(update.incarnation);
  if (updateEpoch !== heldEpoch) return updateEpoch > heldEpoch ? update : held;
  const newer = update.incarnation > held.incarnation ? update : held;
  const state = STATE_RANK[update.state] > STATE_RANK[held.state] ? update.state : held.state;
  if (newer === held && state === held.state) return held;
  return { ...newer, state };
};

/** True if a received entry about this VM contradicts its own state. */
const contradictsSelf = (self: Member, update: Member): boolean => {
  if (update.bootId !== self.bootId) return update.incarnation >= self.incarnation;
  return isSuspectOrDead(update) && epochOf(update.incarnation) >= epochOf(self.incarnation);
};

/** Returns this VM's own entry, with a higher epoch if it has to refute the update. */
export const refute = (self: Member, update: Member): Member =>
  contradictsSelf(self, update)
    ? { ...self, incarnation: Math.max(nextEpoch(update.incarnation), nextEpoch(self.incarnation)) }
    : self;
