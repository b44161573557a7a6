/** Constructs, connects, starts and stops the components of an entry VM. */
export * from './entry-vm.js';
export * from './components.js';
