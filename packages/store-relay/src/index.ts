/** Reaches the key-value store through another entry VM when the own path is lost. */
export { DirectPathHealth } from './direct-path-health.js';
export { RelayedStore, type RelayedStoreOptions } from './relayed-store.js';
export {
  createRelayClient,
  openRelayServer,
  type RelayCall,
  type RelayServer,
} from './relay-http.js';
