/** Work in progress on each worker over all entry VMs. */
export { FleetLoad, type FleetLoadOptions } from './fleet-load.js';
export type { LoadMessage, WorkerCount } from './message.js';
export { openDatagrams, type Datagrams } from './datagrams.js';
