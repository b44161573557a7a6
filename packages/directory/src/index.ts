/** Workers and entry VMs from the platform's VM list. */
export * from './vm-index.js';
export * from './directory-controller.js';
