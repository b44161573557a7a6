/** Reaches the key-value store through another entry VM while the direct path does not work. */
export { DirectPathHealth } from './direct-path-health.js';
export { RelayedStore, type RelayedStoreOptions } from './relayed-store.js';
export {
  createRelayClient,
  openRelayServer,
  type RelayCall,
  type RelayServer,
} from './relay-http.js';
