/** Merge rules of member entries. */
import { type Member, MemberState } from '@jujubelanding/types';
import { epochOf, nextEpoch } from './incarnation.js';

/** Within an epoch a state only advances in this order. */
const STATE_RANK: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Leaving]: 1,
  [MemberState.Suspect]: 2,
  [MemberState.Dead]: 3,
};

export const isSuspectOrDead = ({ state }: Member): boolean =>
  state === MemberState.Suspect || state === MemberState.Dead;

/**
 * Merges an update into the held entry of the same VM. Of two epochs the higher one counts alone.
 * Within one epoch the newer version of the data is kept with the more advanced state. Returns the
 * held entry itself when the update brings nothing new.
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

/** True when an entry about this VM contradicts what it knows about itself. */
const contradictsSelf = (self: Member, update: Member): boolean => {
  if (update.bootId !== self.bootId) return update.incarnation >= self.incarnation;
  return isSuspectOrDead(update) && epochOf(update.incarnation) >= epochOf(self.incarnation);
};

/** Returns this VM's own entry after an update about it: a higher epoch refutes an accusation. */
export const refute = (self: Member, update: Member): Member =>
  contradictsSelf(self, update)
    ? { ...self, incarnation: Math.max(nextEpoch(update.incarnation), nextEpoch(self.incarnation)) }
    : self;
