/** Reads from Node.js and the kernel how much of what was written to a connection has been sent. */
import { readFile } from 'node:fs/promises';
import type { Socket } from 'node:net';

/** Tables of the TCP connections of this machine; absent on systems other than Linux. */
const TABLES = ['/proc/self/net/tcp', '/proc/self/net/tcp6'];

/** Fields of a line: addresses as `host:port` in hexadecimal, queues as `unacknowledged:unread`. */
const LOCAL_FIELD = 1;
const REMOTE_FIELD = 2;
const QUEUES_FIELD = 4;

const HEXADECIMAL = 16;

interface Handle {
  bytesWritten: number;
  writeQueueSize: number;
}

/**
 * Returns the bytes of a connection that the kernel has taken, or undefined if the connection is closed. The
 * public properties of a socket count a write, which may be a whole response, only once all of it is taken.
 */
export const readTakenBytes = (socket: Socket): number | undefined => {
  const { _handle: handle } = socket as unknown as { _handle: Handle | null };
  return handle === null ? undefined : handle.bytesWritten - handle.writeQueueSize;
};

const createKey = (localPort: number, remotePort: number): string => `${localPort}:${remotePort}`;

export const getConnectionKey = ({ localPort = 0, remotePort = 0 }: Socket): string =>
  createKey(localPort, remotePort);

const parsePort = (address: string): number =>
  Number.parseInt(address.slice(address.lastIndexOf(':') + 1), HEXADECIMAL);

const readTable = async (file: string): Promise<string[]> => {
  try {
    return (await readFile(file, 'utf8')).split('\n').slice(1);
  } catch {
    // Without the table, progress shows only in what the kernel takes.
    return [];
  }
};

/**
 * Returns the unacknowledged bytes of all connections of the machine by their ports. Those of connections
 * with the same ports are added up.
 */
export const readUnacknowledged = async (): Promise<Map<string, number>> => {
  const bytes = new Map<string, number>();
  for (const line of (await Promise.all(TABLES.map(readTable))).flat()) {
    const fields = line.trim().split(/\s+/);
    const queues = fields[QUEUES_FIELD];
    if (queues === undefined) continue;
    const key = createKey(parsePort(fields[LOCAL_FIELD]!), parsePort(fields[REMOTE_FIELD]!));
    bytes.set(key, (bytes.get(key) ?? 0) + Number.parseInt(queues, HEXADECIMAL));
  }
  return bytes;
};
