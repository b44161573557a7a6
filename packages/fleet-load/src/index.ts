/** Work in progress on each worker across all entry VMs. */
export { FleetLoad, type VmBatchItems, type FleetLoadOptions } from './fleet-load.js';
export type { LoadMessage, WaitingCount, WorkerCount } from './load-message.js';
export { openLoadSocket, type LoadSocket } from './load-socket.js';
