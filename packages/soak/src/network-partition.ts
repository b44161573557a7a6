/** Network partition between availability zones: entry VMs of one side reach nothing on the other. */
import type { FleetNode } from '@jujubelanding/simulation';
import { Reachability } from '@jujubelanding/stand-ins';
import type { SoakHarness } from './soak-harness.js';

export interface NetworkPartition {
  /** Availability zones of the two sides. */
  sides: readonly [readonly string[], readonly string[]];
  /** Whether each side reaches the key-value service, the VM list and the weight store. */
  platformAccess: readonly boolean[];
}

const isInZones = (zones: readonly string[], { host }: FleetNode): boolean =>
  zones.includes(host.availabilityZone);

const setPlatformReachability = (
  { store, vmList, weightStore }: FleetNode,
  state: Reachability,
): void => {
  store.faults.reachability = state;
  vmList.faults.reachability = state;
  weightStore.faults.reachability = state;
};

const setWorkerReachability = (
  harness: SoakHarness,
  node: FleetNode,
  zones: readonly string[],
  state: Reachability,
) =>
  zones
    .flatMap((zone) => harness.fleet.links.listMachinesIn(zone))
    .filter((id) => !harness.fleet.nodes.has(id))
    .forEach((id) => {
      node.backendServers.getFaultsTo(id).reachability = state;
    });

/** Cuts the sides off from each other; idempotent while the partition lasts. */
export const applyPartition = (
  harness: SoakHarness,
  { sides, platformAccess }: NetworkPartition,
): void => {
  sides.forEach((zones, index) => {
    const others = sides[1 - index]!;
    const nodes = [...harness.fleet.nodes.values()];
    nodes
      .filter((node) => isInZones(zones, node))
      .forEach((node) => {
        nodes
          .filter((other) => isInZones(others, other))
          .forEach((other) => harness.fleet.links.cutBoth(node.host.id, other.host.id));
        setWorkerReachability(harness, node, others, Reachability.Cut);
        if (!platformAccess[index]!) setPlatformReachability(node, Reachability.Cut);
      });
  });
};

/** Ends the partition and all other link faults. */
export const healPartition = (harness: SoakHarness): void => {
  harness.fleet.links.healAll();
  harness.fleet.nodes.forEach((node) => {
    setPlatformReachability(node, Reachability.Up);
    setWorkerReachability(harness, node, harness.availabilityZones(), Reachability.Up);
  });
};
