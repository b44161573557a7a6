// Bundles the programs of the deployment manifest into target/. A restarting VM is out of service until
// its program is loaded, so the bundles contain only the code that is used, and the program of an entry VM
// is loaded with a code cache by a small boot program. The first argument names another folder.
import { spawnSync } from 'node:child_process';
import console from 'node:console';
import { readFile, rm, writeFile } from 'node:fs/promises';
import process from 'node:process';
import { build } from 'esbuild';
import { bundlePrograms, ES_MODULE_BANNER, plainAssertions } from './bundle.mjs';

/** Folder of the programs in the commands of the deployment manifest. */
const DEPLOYED_FOLDER = 'target';

const [, , folder = DEPLOYED_FOLDER] = process.argv;

/** The modules of libraries that the programs use; undici would be half of the bundle. */
const USED_MODULES = {
  undici: `
    exports.buildConnector = require('undici/lib/core/connect.js');
    exports.Client = require('undici/lib/dispatcher/client.js');
    exports.Pool = require('undici/lib/dispatcher/pool.js');
    exports.util = require('undici/lib/core/util.js');
  `,
  'prom-client': `
    exports.Registry = require('prom-client/lib/registry.js');
    exports.Counter = require('prom-client/lib/counter.js');
    exports.Gauge = require('prom-client/lib/gauge.js');
    exports.Histogram = require('prom-client/lib/histogram.js');
  `,
};

/** Modules of undici for HTTP/2 and for bodies other than strings and bytes, which no request uses. */
const UNUSED_MODULES = /\/(?:client-h2|web\/fetch\/body)\.js$/;

const selectModules = {
  name: 'select-modules',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^(?:undici|prom-client)$/ }, ({ path }) => ({
      path,
      namespace: 'selected',
    }));
    onResolve({ filter: UNUSED_MODULES }, ({ path }) => ({ path, namespace: 'unused' }));
    onLoad({ filter: /.*/, namespace: 'selected' }, ({ path }) => ({
      contents: USED_MODULES[path],
      resolveDir: process.cwd(),
    }));
    onLoad({ filter: /.*/, namespace: 'unused' }, () => ({ contents: 'module.exports = {};' }));
  },
};

const COMMON = {
  format: 'cjs',
  banner: {},
  plugins: [plainAssertions, selectModules],
  // Identifiers are not minified, so that stack traces stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
};

/** Time for the recorded start; it takes two seconds, and a cache without it is better than no build. */
const CACHE_TIMEOUT_MS = 60_000;

/** Returns the options of Node.js in the command of a role; V8 accepts a cache only with the same ones. */
const readFlags = async (program) => {
  const manifest = await readFile('deploy/system.toml', 'utf8');
  const command = new RegExp(`^run = "node (.*) ${DEPLOYED_FOLDER}/${program}"$`, 'm').exec(
    manifest,
  );
  if (command === null) throw new Error(`no role of deploy/system.toml runs ${program}`);
  return command[1].split(' ');
};

/** Records a start of the program and writes the code cache of what it compiled. */
const writeCodeCache = async () => {
  const recorder = `${folder}/record-start.mjs`;
  await build({
    entryPoints: ['platform/src/fixtures/record-start.ts'],
    outfile: recorder,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    logLevel: 'warning',
    banner: { js: ES_MODULE_BANNER },
  });
  const flags = await readFlags('entry-vm.js');
  const { status, signal } = spawnSync(process.execPath, [...flags, recorder, folder], {
    stdio: ['ignore', 'ignore', 'inherit'],
    timeout: CACHE_TIMEOUT_MS,
  });
  await rm(recorder);
  if (status !== 0) {
    console.warn(`no code cache: the recorded start ended with ${status ?? signal}`);
  }
};

await bundlePrograms(
  { 'entry-vm': 'platform/src/boot-main.ts', storage: 'platform/src/storage-main.ts' },
  folder,
  COMMON,
);
await build({
  ...COMMON,
  entryPoints: { 'entry-vm.program': 'platform/src/main.ts' },
  outdir: folder,
  bundle: true,
  platform: 'node',
  target: 'node20',
  sourcemap: true,
  logLevel: 'warning',
  external: ['msgpackr-extract'],
  // The boot program calls the function; it reads the file as one byte a character.
  charset: 'ascii',
  banner: { js: '(function (exports, require, module, __filename) {' },
  footer: { js: '})' },
  define: {
    'import.meta.url': '__filename',
    // Loading the native module of msgpackr takes longer than it saves with messages of a few KB.
    'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"',
  },
});
// The root manifest makes .js files ES modules, which take longer to load and cannot have a code cache.
await writeFile(`${folder}/package.json`, '{ "type": "commonjs" }\n');
await writeCodeCache();
