/** Interfaces of the platform; implemented by HTTP clients and by in-process stand-ins. */
export * from './key-value-store.js';
export * from './platform-services.js';
export * from './backend-servers.js';
export * from './prefix-hash.js';
export * from './transactional-store.js';
export * from './request-forwarder.js';
