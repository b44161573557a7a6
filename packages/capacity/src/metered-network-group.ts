/** Networks of all VMs of a simulation, and the sizes of their datagrams. */
import type { Timer } from '@jujubelanding/timer';
import { MAX_DATAGRAM_BYTES } from './wire-format.js';
import {
  createNetworkUsage,
  MeteredNetwork,
  type NetworkGroup,
  type NetworkUsage,
} from './metered-network.js';

export class MeteredNetworkGroup implements NetworkGroup {
  readonly networks = new Map<string, MeteredNetwork>();

  /** Size of the largest datagram, without UDP and IP headers. */
  largestDatagram = 0;

  /** Number of datagrams above the size limit of the design. */
  oversizedCount = 0;

  constructor(readonly timer: Timer) {}

  createNetwork(address: string): MeteredNetwork {
    const network = new MeteredNetwork(this);
    this.networks.set(address, network);
    return network;
  }

  countDatagram(bytes: number): void {
    this.largestDatagram = Math.max(this.largestDatagram, bytes);
    if (bytes > MAX_DATAGRAM_BYTES) this.oversizedCount += 1;
  }

  /** Resets all counts, for example after the warm-up. */
  reset(): void {
    this.oversizedCount = 0;
    this.largestDatagram = 0;
    this.networks.forEach((network) => {
      network.usage = createNetworkUsage();
      network.calls.clear();
    });
  }

  listUsages(): NetworkUsage[] {
    return [...this.networks.values()].map(({ usage }) => usage);
  }
}
