/** Replicated storage of immutable, checksummed segments on the disks of entry VMs, with repair. */
export * from './replicated-segment-store.js';
export * from './copy-placement.js';
export * from './local-segments.js';
export * from './memory-disk.js';
export * from './node-disk.js';
export * from './scrubber.js';
