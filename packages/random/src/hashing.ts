import { createHash } from 'node:crypto';
import { SHARD_COUNT } from '@jujubelanding/types';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit hash that does not depend on the machine. */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone hashes similar keys to similar values; this finalizer mixes all bits.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Returns the SHA-256 checksum in hexadecimal. */
export const computeChecksum = (content: Uint8Array | string): string =>
  createHash('sha256').update(content).digest('hex');

/** Ranks nodes for a key by rendezvous hashing, the preferred one first. */
export const rankNodes = (key: string, nodes: readonly string[]): string[] =>
  nodes
    .map((node) => ({ node, weight: hashText(`${key}|${node}`) }))
    .toSorted((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(({ node }) => node);

/** Returns the position of a node among nodes in the order of {@link rankNodes}, without sorting them. */
export const rankOf = (key: string, node: string, nodes: readonly string[]): number => {
  const weight = hashText(`${key}|${node}`);
  return nodes.filter((other) => {
    if (other === node) return false;
    const otherWeight = hashText(`${key}|${other}`);
    return otherWeight > weight || (otherWeight === weight && other < node);
  }).length;
};

/** Returns the shard of a key, which is the same on every VM. */
export const computeShard = (key: string): number => hashText(key) % SHARD_COUNT;
