/** Separation of availability zones: entry VMs of one side reach nothing on the other. */
import type { FleetNode } from '@jujubelanding/simulation';
import { Reachability } from '@jujubelanding/stand-ins';
import type { SoakHarness } from './soak-harness.js';

export interface NetworkPartition {
  /** Availability zones of the two sides. */
  sides: readonly [readonly string[], readonly string[]];
  /** Sides that reach the key-value service and the VM list. */
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
  world: SoakHarness,
  node: FleetNode,
  zones: readonly string[],
  state: Reachability,
) =>
  zones
    .flatMap((zone) => world.fleet.links.listMachinesIn(zone))
    .filter((id) => !world.fleet.nodes.has(id))
    .forEach((id) => {
      node.backendServers.faultsTo(id).reachability = state;
    });

/** Cuts the sides from each other; may be called again while it lasts. */
export const applyPartition = (
  world: SoakHarness,
  { sides, platformAccess: withPlatform }: NetworkPartition,
): void => {
  sides.forEach((zones, index) => {
    const others = sides[1 - index]!;
    const nodes = [...world.fleet.nodes.values()];
    nodes
      .filter((node) => isInZones(zones, node))
      .forEach((node) => {
        nodes
          .filter((other) => isInZones(others, other))
          .forEach((other) => world.fleet.links.cutBoth(node.host.id, other.host.id));
        setWorkerReachability(world, node, others, Reachability.Cut);
        if (!withPlatform[index]!) setPlatformReachability(node, Reachability.Cut);
      });
  });
};

/** Ends a separation and with it all other faults of links. */
export const healPartition = (world: SoakHarness): void => {
  world.fleet.links.healAll();
  world.fleet.nodes.forEach((node) => {
    setPlatformReachability(node, Reachability.Up);
    setWorkerReachability(world, node, world.availabilityZones(), Reachability.Up);
  });
};
