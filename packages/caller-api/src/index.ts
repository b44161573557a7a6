/** HTTP interface for callers: a chain of filters and the routes. */
export * from './api.js';
export type { CallerApiOptions } from './request-context.js';
