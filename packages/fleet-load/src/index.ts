/** Work in progress on each worker across all entry VMs. */
export { PEER_TIMEOUT_MS } from './group-collector.js';
export { FleetLoad, type FleetLoadOptions } from './fleet-load.js';
export { MAX_DIRECT_VMS, rankCandidates, type CollectorCandidate } from './collector-choice.js';
export type { Departure } from './departure.js';
export type {
  BatchRun,
  BatchWork,
  LimitMessage,
  LoadMessage,
  Plan,
  RequestLoss,
  WaitingCount,
} from './load-message.js';
export { MessageKind } from './load-message.js';
export { openLoadSocket, type LoadSocket } from './load-socket.js';
