/** HTTP clients of the platform services and of backend servers. */
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
export { CALL_METRIC, CallOutcome, instrumentKeyValueStore } from './instrumented-store.js';
export { ConnectionPools, type ConnectionLimits } from './connection-pools.js';
export {
  sendRequest,
  TimeoutKind,
  type HttpResponse,
  type ResponseStart,
  type HttpRequest,
} from './http-request.js';
export { createQuery } from './query.js';
export { HttpClient, type CallRequest } from './http-client.js';
export { expectSuccess, OUTCOME_HEADER, parseResponse, toFault } from './responses.js';
