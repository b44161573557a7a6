/** Emulators of the platform services and of backend servers, with fault injection. */
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
export { StreamFault, type StreamSink } from './engine/engine-stream.js';
export * from './backend-server-group.js';
export type {
  BackendServerGroupOptions,
  BackendServersClient,
} from './backend-server-group-client.js';
export { listen, type App, type Listener } from './http/server.js';
export { createKeyValueApp } from './http/key-value-app.js';
export { createVmListApp, createWeightStoreApp } from './http/fleet-apps.js';
export { createModelEngineApp, EngineState } from './http/model-engine-app.js';
export { createPlainServiceApp } from './http/plain-service-app.js';
