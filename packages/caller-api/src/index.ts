/** HTTP API for callers: middleware and routes. */
export * from './api.js';
export type { CallerApiOptions, CallerBindings } from './request-context.js';
