/** Backoff of single batch items that workers do not serve. */
export { ItemBackoff } from './item-backoff.js';
