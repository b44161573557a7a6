/**
 * Format of the file with the V8 code cache of a program. V8 rejects a cache of another version or with other
 * flags, but does not verify the content: a damaged cache ends the process, and a cache of another
 * architecture can be accepted. The file therefore begins with a digest of its content and its origin.
 */
import { createHash } from 'node:crypto';
import process from 'node:process';

export enum CacheOutcome {
  Used = 'used',
  /** There is no file. */
  Missing = 'missing',
  /** The content is damaged, or from another version of Node.js or another architecture. */
  Mismatch = 'mismatch',
  /** V8 does not accept the content, for example because of other flags. */
  Rejected = 'rejected',
}

const ALGORITHM = 'sha1';

const DIGEST_BYTES = 20;

const computeDigest = (content: Buffer): Buffer =>
  createHash(ALGORITHM)
    .update(`${process.version} ${process.arch} ${process.platform} `)
    .update(content)
    .digest();

/** Returns the content of a cache file. */
export const sealCache = (cache: Buffer): Buffer => Buffer.concat([computeDigest(cache), cache]);

/** Returns the code cache in a file, or undefined if it may not be used. */
export const openCache = (file: Buffer): Buffer | undefined => {
  const content = file.subarray(DIGEST_BYTES);
  return computeDigest(content).equals(file.subarray(0, DIGEST_BYTES)) ? content : undefined;
};
