/** The quarantine of requests that crash workers, shared between entry VMs without the key-value service. */
export * from './peer-quarantine.js';
export * from './worker-crashes.js';
