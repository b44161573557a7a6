import { Pool } from 'undici';
import { ConnectionClient } from './connection-client.js';

export type PoolOptions = Omit<Pool.Options, 'factory'>;

/** Creates the connections to one server. */
export const createPool = (origin: string | URL, options: PoolOptions): Pool =>
  new Pool(origin, {
    ...options,
    factory: (url, clientOptions) => new ConnectionClient(url, clientOptions),
  });
