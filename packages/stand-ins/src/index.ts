/** Emulators of the platform and of backend servers. */
export * from './link.js';
export * from './counters.js';
export * from './key-value-state.js';
export * from './key-value-service.js';
export * from './vm-list-service.js';
export * from './weight-store-service.js';
export * from './plain-service.js';
export * from './engine/settings.js';
export * from './engine/answer.js';
export * from './engine/execution-counts.js';
export * from './engine/model-engine.js';
export { StreamFault, type StreamSink } from './engine/stream.js';
export * from './backend-server-group.js';
export type { BackendServerGroupOptions, BackendServersClient } from './group-client.js';
