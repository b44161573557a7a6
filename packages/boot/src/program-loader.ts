/** Loads a program, a CommonJS bundle in the form of a function expression, with its code cache. */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';
import { CacheOutcome, openCache } from './code-cache.js';

export interface LoadedProgram<Exports> {
  exports: Exports;
  cache: CacheOutcome;
  /** Creates the code cache of the functions that have been compiled so far. */
  createCache: () => Buffer;
}

interface ReadCache {
  content: Buffer | undefined;
  outcome: CacheOutcome;
}

const MISSING: ReadCache = { content: undefined, outcome: CacheOutcome.Missing };

const readCache = (file: string): ReadCache => {
  try {
    const content = openCache(readFileSync(file));
    return { content, outcome: content === undefined ? CacheOutcome.Mismatch : CacheOutcome.Used };
  } catch {
    return MISSING;
  }
};

type ModuleFunction<Exports> = (
  exports: Exports,
  require: NodeJS.Require,
  module: { exports: Exports },
  filename: string,
) => void;

/**
 * Runs the program in the file, an absolute path, with its code cache, or from source if the cache does not
 * match.
 */
export const loadProgram = <Exports extends object>(
  file: string,
  cacheFile?: string,
): LoadedProgram<Exports> => {
  const read = cacheFile === undefined ? MISSING : readCache(cacheFile);
  // The build escapes all other characters; a string with one byte for each takes half of the memory.
  const source = readFileSync(file, 'latin1');
  const script = new Script(source, { filename: file, cachedData: read.content });
  const cache = script.cachedDataRejected ? CacheOutcome.Rejected : read.outcome;
  const module = { exports: {} as Exports };
  const run = script.runInThisContext() as ModuleFunction<Exports>;
  run(module.exports, createRequire(file), module, file);
  return { exports: module.exports, cache, createCache: () => script.createCachedData() };
};
