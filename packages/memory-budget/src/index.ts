/** Memory that callers take on one process, whom to drop when it runs short, and how that is applied. */
export * from './accounted-response.js';
export * from './body-reader.js';
export * from './body-receipt.js';
export * from './caller-connections.js';
export * from './caller-refusals.js';
export * from './collected-body.js';
export * from './listener-guard.js';
export * from './memory-budget.js';
export * from './read-progress.js';
export * from './sizes.js';
export * from './streamed-body.js';
export * from './unread-bytes.js';
