/** Keep-alive connections by address. */
import { Pool } from 'undici';

export interface ConnectionLimits {
  /** Connections per address; each carries one request at a time. */
  connections: number;
  connectTimeoutMs: number;
}

/** Addresses with open connections; the least recently used pool is closed beyond this number. */
const MAX_POOLS = 1024;

/** Shorter than the idle timeout of common servers, so that no request meets a closing connection. */
const KEEP_ALIVE_TIMEOUT_MS = 3000;

interface PoolEntry {
  pool: Pool;
  inFlight: number;
}

export class ConnectionPools {
  /** By address, least recently used first. */
  private readonly entries = new Map<string, PoolEntry>();

  private closed = false;

  constructor(private readonly limits: ConnectionLimits) {}

  /** Takes a place on a connection; undefined when all are in use or after the close. */
  acquire(address: string): { pool: Pool; release: () => void } | undefined {
    if (this.closed) return undefined;
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

  /** Closes all connections; requests in progress break. */
  async close(): Promise<void> {
    this.closed = true;
    const entries = [...this.entries.values()];
    this.entries.clear();
    await Promise.all(entries.map(({ pool }) => pool.destroy()));
  }

  /** Resolves once no request is in progress; accepts no new ones. */
  async drain(): Promise<void> {
    await Promise.all([...this.entries.values()].map(({ pool }) => pool.close()));
  }

  private getOrCreate(address: string): PoolEntry {
    const known = this.entries.get(address);
    const entry = known ?? { pool: this.createPool(address), inFlight: 0 };
    this.entries.delete(address);
    this.entries.set(address, entry);
    if (known === undefined) this.closeLeastRecentlyUsed();
    return entry;
  }

  private createPool(address: string): Pool {
    return new Pool(`http://${address}`, {
      connections: this.limits.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
      // Exchanges keep their own time on the timer.
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
