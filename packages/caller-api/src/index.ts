/** HTTP API for callers: middleware and routes. */
export * from './api.js';
export type { CallerApiOptions } from './request-context.js';
