/** Settings of the daemon: definitions, parsing, help text and documentation. */
export * from './address.js';
export * from './duration.js';
export * from './setting-definition.js';
export * from './settings-table.js';
export * from './setting-faults.js';
export { attachSecrets, isHelpRequested, isVersionRequested } from './flags.js';
export * from './parse-settings.js';
export * from './help.js';
