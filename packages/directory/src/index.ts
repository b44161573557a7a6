/** Directory of the workers and entry VMs on the platform's VM list. */
export * from './vm-index.js';
export * from './directory-controller.js';
