/** Workers and entry VMs from the platform's VM list. */
export * from './listing.js';
export * from './directory-controller.js';
