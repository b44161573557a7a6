/** Interfaces of the platform's services, implemented by HTTP clients and by emulators. */
export * from './key-value-store.js';
export * from './platform-services.js';
export * from './backend-servers.js';
export * from './prefix-hash.js';
export * from './transactional-store.js';
export * from './request-forwarder.js';
