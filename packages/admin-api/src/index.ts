/** Administration API: records, history and status. */
export * from './admin-api.js';
export * from './fleet-status.js';
export * from './records-controller.js';
