/** HTTP connections whose responses complete only with a proven end. */
export { createAgent, type AgentOptions } from './agent.js';
export { createPool, type PoolOptions } from './pool.js';
