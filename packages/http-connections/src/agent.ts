import { Agent } from 'undici';
import { createPool } from './pool.js';

export type AgentOptions = Omit<Agent.Options, 'factory'>;

/** Creates the connections to any server. */
export const createAgent = (options: AgentOptions): Agent =>
  new Agent({
    ...options,
    factory: (url, poolOptions) => createPool(url, poolOptions),
  });
