// Bundles programs, so that they start without a TypeScript loader, which would start another process.
import { rm } from 'node:fs/promises';
import { build } from 'esbuild';

/** Beginning of an ES module bundle: CommonJS dependencies inside it call require(). */
export const ES_MODULE_BANNER =
  "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);";

const PLAIN_ASSERT = `
  const { AssertionError } = require('assert');
  module.exports = (value, message = 'an assertion does not hold') => {
    if (value) return;
    throw message instanceof Error ? message : new AssertionError({ message, actual: value });
  };
`;

/**
 * Gives assertions of dependencies a fixed message. Node.js composes one from the source of the assertion,
 * and parsing a bundle for it takes all of the processor for seconds.
 */
export const plainAssertions = {
  name: 'plain-assertions',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^node:assert$/ }, ({ path }) => ({ path, namespace: 'plain-assertions' }));
    onLoad({ filter: /.*/, namespace: 'plain-assertions' }, () => ({ contents: PLAIN_ASSERT }));
  },
};

export const bundlePrograms = async (entryPoints, outdir, options = {}) => {
  await rm(outdir, { recursive: true, force: true });
  await build({
    entryPoints,
    outdir,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    sourcemap: true,
    logLevel: 'warning',
    // Optional native modules: hot-shots loads unix-dgram only for Unix sockets, and msgpackr works
    // without msgpackr-extract.
    external: ['unix-dgram', 'msgpackr-extract'],
    banner: { js: ES_MODULE_BANNER },
    plugins: [plainAssertions],
    ...options,
  });
};
