/** Timer interface with a system and a virtual implementation. */
export * from './timer.js';
export * from './system-timer.js';
export * from './virtual-timer.js';
