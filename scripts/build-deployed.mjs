// Bundles the programs of the deployment manifest into target/. A restarting VM is out of service until
// its program is loaded, so the bundles contain only the code that is used.
import process from 'node:process';
import { bundlePrograms } from './bundle.mjs';

/** The modules of undici that the programs use; all of undici would be half of the bundle. */
const USED_UNDICI_MODULES = `
  exports.buildConnector = require('undici/lib/core/connect.js');
  exports.Client = require('undici/lib/dispatcher/client.js');
  exports.Pool = require('undici/lib/dispatcher/pool.js');
  exports.util = require('undici/lib/core/util.js');
`;

const selectUndici = {
  name: 'select-undici',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'selected' }));
    onLoad({ filter: /.*/, namespace: 'selected' }, () => ({
      contents: USED_UNDICI_MODULES,
      resolveDir: process.cwd(),
    }));
  },
};

await bundlePrograms(
  { 'entry-vm': 'platform/src/main.ts', storage: 'platform/src/storage-main.ts' },
  'target',
  // Identifiers are not minified, so that stack traces stay readable.
  { minifySyntax: true, minifyWhitespace: true, plugins: [selectUndici] },
);
