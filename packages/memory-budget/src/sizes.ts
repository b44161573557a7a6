/** Bounds of a process, derived from the memory and the descriptors of its machine. */

const BYTES_PER_MB = 1_000_000;

/** Memory of the smallest machine. */
export const DEFAULT_MEMORY_MB = 210;

/** Below the descriptors of the smallest machine, which has 2,212. */
export const DEFAULT_MAX_DESCRIPTORS = 2048;

/**
 * Share of a machine's memory for callers. The process without load takes half of the smallest machine, and
 * released buffers stay in memory until they are collected: at a quarter, a crowd with large chunks took
 * more than the rest.
 */
const CALLER_MEMORY_SHARE = 0.2;

/** Descriptors that are left for files. */
const FILE_DESCRIPTORS = 200;

/** Share of the descriptors for connections to workers, the store and peers. */
const OWN_CONNECTIONS_SHARE = 0.25;

/** Time after which a response is closed of which nothing is read. */
export const DEFAULT_UNREAD_TIMEOUT_MS = 10_000;

/** Shares of the descriptors for connections to the listeners for entry points and for peers. */
const ENTRY_POINTS_SHARE = 1 / 16;
const PEERS_SHARE = 1 / 8;

/** Connections to a listener that only the platform uses, as for readiness and metrics. */
const PLATFORM_CONNECTIONS = 32;

/** A machine with few descriptors still serves some callers. */
const MIN_CONNECTIONS = 16;

export interface MachineLimits {
  memoryMb?: number | undefined;
  maxDescriptors?: number | undefined;
}

/** Bounds that an operator may set. */
export interface CallerSettings extends MachineLimits {
  unreadTimeoutMs?: number | undefined;
}

export interface CallerBounds {
  memoryBytes: number;
  connections: number;
  /** Connections to other listeners; a part of those that callers may not take. */
  entryPointConnections: number;
  peerConnections: number;
  platformConnections: number;
}

/** Returns what callers may take on a machine. */
export const computeCallerBounds = ({
  memoryMb = DEFAULT_MEMORY_MB,
  maxDescriptors = DEFAULT_MAX_DESCRIPTORS,
}: MachineLimits): CallerBounds => ({
  memoryBytes: Math.floor(memoryMb * BYTES_PER_MB * CALLER_MEMORY_SHARE),
  connections: Math.max(
    MIN_CONNECTIONS,
    Math.floor(maxDescriptors * (1 - OWN_CONNECTIONS_SHARE)) - FILE_DESCRIPTORS,
  ),
  entryPointConnections: Math.max(MIN_CONNECTIONS, Math.floor(maxDescriptors * ENTRY_POINTS_SHARE)),
  peerConnections: Math.max(MIN_CONNECTIONS, Math.floor(maxDescriptors * PEERS_SHARE)),
  platformConnections: PLATFORM_CONNECTIONS,
});
