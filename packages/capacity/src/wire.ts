/** Networks of all VMs of a simulation. */
import type { Timer } from '@jujubelanding/timer';
import { MAX_DATAGRAM_BYTES } from './wire-format.js';
import { createUsage, WireNetwork, type Medium, type Usage } from './wire-network.js';

export class Wire implements Medium {
  readonly networks = new Map<string, WireNetwork>();

  /** Largest datagram without UDP and IP headers. */
  largestDatagram = 0;

  /** Datagrams above the limit of the design. */
  oversized = 0;

  constructor(readonly timer: Timer) {}

  createNetwork(address: string): WireNetwork {
    const network = new WireNetwork(this);
    this.networks.set(address, network);
    return network;
  }

  countDatagram(bytes: number): void {
    this.largestDatagram = Math.max(this.largestDatagram, bytes);
    if (bytes > MAX_DATAGRAM_BYTES) this.oversized += 1;
  }

  /** Starts to count anew, for example after the warm-up. */
  reset(): void {
    this.oversized = 0;
    this.largestDatagram = 0;
    this.networks.forEach((network) => {
      network.usage = createUsage();
      network.calls.clear();
    });
  }

  usages(): Usage[] {
    return [...this.networks.values()].map(({ usage }) => usage);
  }
}
