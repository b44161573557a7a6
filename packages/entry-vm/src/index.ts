/** Wiring of the parts of an entry VM over given I/O. */
export * from './entry-vm.js';
export * from './components.js';
