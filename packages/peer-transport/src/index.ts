/** Calls and datagrams between entry VMs over tRPC and UDP. */
export { createPeerNetwork, type PeerNetworkOptions, type PeerTransport } from './peer-network.js';
export { DropReason, type Traffic, type TransportCounters } from './traffic.js';
