/** Replays recorded traces and checks their expected outcomes. */
export * from './trace/events.js';
export * from './trace/expectations.js';
export * from './trace/header.js';
export * from './trace/parse-trace.js';
export * from './run-trace.js';
export * from './replay-text.js';
