// Bundles the programs that the deploy file names into target/. A VM that restarts is out of service
// until its program is loaded, so that only what runs is loaded.
import process from 'node:process';
import { bundlePrograms } from './bundle.mjs';

/** The parts of undici that the programs use; all of it would be half of the bundle. */
const USED_UNDICI = `
  exports.Pool = require('undici/lib/dispatcher/pool.js');
  exports.util = require('undici/lib/core/util.js');
`;

const selectUndici = {
  name: 'select-undici',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'selected' }));
    onLoad({ filter: /.*/, namespace: 'selected' }, () => ({
      contents: USED_UNDICI,
      resolveDir: process.cwd(),
    }));
  },
};

await bundlePrograms(
  { 'entry-vm': 'platform/src/main.ts', storage: 'platform/src/storage-main.ts' },
  'target',
  // Identifiers keep their names, so that stack traces stay readable.
  { minifySyntax: true, minifyWhitespace: true, plugins: [selectUndici] },
);
