/** Reaches the key-value store through other entry VMs, and shares watches of it among them. */
export { DirectPathHealth } from './direct-path-health.js';
export {
  SharedCopy,
  type PrefixReader,
  type RootCopyOptions,
  type SharedCopyOptions,
} from './shared-copy.js';
export { WatchHub } from './watch-hub.js';
export { RelayedStore, type RelayedStoreOptions } from './relayed-store.js';
export {
  createRelayClient,
  openRelayServer,
  type RelayCall,
  type RelayClient,
  type RelayServer,
} from './relay-http.js';
