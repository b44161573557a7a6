/** Work in progress on each worker over all entry VMs. */
export { FleetLoad, type BatchOfVm, type FleetLoadOptions } from './fleet-load.js';
export type { LoadMessage, WaitingCount, WorkerCount } from './message.js';
export { openDatagrams, type Datagrams } from './datagrams.js';
