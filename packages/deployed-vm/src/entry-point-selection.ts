/** Selects the entry VMs that a response names, for fleets with more VMs than callers use. */
import { rankNodes } from '@jujubelanding/random';

/** Maximum number of addresses in a response; callers do not use more. */
export const MAX_ENTRY_POINTS = 64;

/**
 * Returns this VM first, if it is listed, and then others in an order of its own. Responses of different
 * VMs thus name different subsets, and all VMs of a large fleet get callers.
 */
export const selectEntryPoints = <T extends { entryVmId: string }>(
  serving: readonly T[],
  self: string,
): T[] => {
  const byId = new Map(serving.map((vm) => [vm.entryVmId, vm]));
  const others = [...byId.keys()].filter((id) => id !== self);
  const ordered = [...(byId.has(self) ? [self] : []), ...rankNodes(self, others)];
  return ordered.slice(0, MAX_ENTRY_POINTS).map((id) => byId.get(id)!);
};
