/** Registration of entry VMs under a lease, and the choice of addresses for callers. */
export { EntryVmRegistry, type EntryVmRegistryOptions } from './entry-vm-registry.js';
export { decodeRegistration, encodeRegistration, type Registration } from './registration.js';
export { LeaseKeeper, type LeaseKeeperOptions } from './lease-keeper.js';
