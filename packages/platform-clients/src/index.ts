/** HTTP clients of the platform and of backend servers. */
export {
  createKeyValueClient,
  type Closable,
  type KeyValueClientOptions,
} from './key-value-client.js';
export {
  createVmListClient,
  createWeightStoreClient,
  type FleetClientOptions,
} from './fleet-clients.js';
export {
  createBackendServersClient,
  type BackendServersClientOptions,
} from './backend-servers-client.js';
export { CALL_METRIC, CallOutcome, measureKeyValueStore } from './measured-store.js';
export { ConnectionPools, type ConnectionLimits } from './connection-pools.js';
export {
  exchange,
  TimeoutKind,
  type Answer,
  type AnswerStart,
  type ExchangeRequest,
} from './exchange.js';
export { CONNECTION_HEADERS } from './service-headers.js';
export { createQuery } from './query.js';
export { HttpPeer, type CallRequest } from './http-peer.js';
export { expectSuccess, OUTCOME_HEADER, parseAnswer, toFault } from './answers.js';
