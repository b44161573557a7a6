/** Pools of keep-alive connections, one pool per address. */
import { createPool } from '@jujubelanding/http-connections';
import type { Pool } from 'undici';
import { BodyBudget } from './body-budget.js';

export interface ConnectionLimits {
  /** Connections per address; each carries one request at a time. */
  connections: number;
  connectTimeoutMs: number;
}

/** Maximum size of all responses that the requests of one client buffer at the same time. */
const MAX_BUFFERED_BYTES = 48 * 1024 * 1024;

/** Maximum number of pools; beyond it the least recently used one that is idle is closed. */
const MAX_POOLS = 1024;

/** Shorter than the idle timeout of common servers, so that no request is sent on a closing connection. */
const KEEP_ALIVE_TIMEOUT_MS = 3000;

interface PoolEntry {
  pool: Pool;
  inFlight: number;
}

export class ConnectionPools {
  /** Bodies of the responses in progress on all connections. */
  readonly bodies = new BodyBudget(MAX_BUFFERED_BYTES);

  /** Pools by address, least recently used first. */
  private readonly entries = new Map<string, PoolEntry>();

  /** Replaced pools whose requests have not ended. */
  private readonly replaced = new Set<Pool>();

  private isClosed = false;

  constructor(private readonly limits: ConnectionLimits) {}

  /** Reserves a connection; returns undefined if all are in use or the pools are closed. */
  acquire(address: string): { pool: Pool; release: () => void } | undefined {
    if (this.isClosed) return undefined;
    const entry = this.getOrCreate(address);
    if (entry.inFlight >= this.limits.connections) return undefined;
    entry.inFlight += 1;
    return {
      pool: entry.pool,
      release: () => {
        entry.inFlight -= 1;
      },
    };
  }

  /** Closes all connections and aborts requests in progress. */
  async close(): Promise<void> {
    this.isClosed = true;
    const entries = [...this.entries.values()];
    this.entries.clear();
    const pools = [...entries.map(({ pool }) => pool), ...this.replaced];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /**
   * Makes further requests use new connections. A path that dropped one request has often dropped the idle
   * connections as well, and each would cost a timeout. Requests in progress go on.
   */
  replaceIdle(address: string, pool: Pool): void {
    const entry = this.entries.get(address);
    // Requests that time out together replace their pool once, and not the one that replaced it.
    if (this.isClosed || entry?.pool !== pool) return;
    entry.pool = this.createPool(address);
    this.replaced.add(pool);
    void pool.close().finally(() => this.replaced.delete(pool));
  }

  /** Stops accepting requests and resolves when none is in progress. */
  async drain(): Promise<void> {
    await Promise.all([...this.entries.values()].map(({ pool }) => pool.close()));
  }

  private getOrCreate(address: string): PoolEntry {
    const existing = this.entries.get(address);
    const entry = existing ?? { pool: this.createPool(address), inFlight: 0 };
    this.entries.delete(address);
    this.entries.set(address, entry);
    if (existing === undefined) this.closeLeastRecentlyUsed();
    return entry;
  }

  private createPool(address: string): Pool {
    return createPool(`http://${address}`, {
      connections: this.limits.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
      // Timeouts are implemented with the timer instead.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: this.limits.connectTimeoutMs },
    });
  }

  private closeLeastRecentlyUsed(): void {
    if (this.entries.size <= MAX_POOLS) return;
    for (const [address, { pool, inFlight }] of this.entries) {
      if (inFlight > 0) continue;
      this.entries.delete(address);
      void pool.close();
      return;
    }
  }
}
