/** Registry of workers that register themselves in the key-value store. */
export { WorkerRegistry, type RegisteredWorker } from './worker-registry.js';
