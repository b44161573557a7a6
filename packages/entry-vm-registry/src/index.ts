/** Registration of entry VMs under a lease, and the list of entry VMs for callers. */
export { EntryVmRegistry, type EntryVmRegistryOptions } from './entry-vm-registry.js';
export { decodeRegistration, encodeRegistration, type Registration } from './registration.js';
export { LeaseKeeper, type LeaseKeeperOptions } from './lease-keeper.js';
