/** Opens listeners and records signals before it loads the program, with its code cache. */
export { boot, type BootableProgram, type BootOptions, type BootState } from './boot.js';
export { CacheOutcome, openCache, sealCache } from './code-cache.js';
export { EarlyListener } from './early-listener.js';
export { EarlySignals, type SignalSource } from './early-signals.js';
export { loadProgram, type LoadedProgram } from './program-loader.js';
