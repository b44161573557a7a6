// Bundles the shipped programs into dist/. A bundle starts without a TypeScript loader, which
// would start a process of its own.
import { existsSync } from 'node:fs';
import { rm } from 'node:fs/promises';
import { build } from 'esbuild';

const PROGRAMS = {
  jujubelandingd: 'packages/daemon/src/main.ts',
  jujubelanding: 'packages/cli/src/main.ts',
  'stand-ins': 'packages/stand-ins/src/main.ts',
  quickstart: 'packages/quickstart/src/main.ts',
  overhead: 'packages/quickstart/src/overhead.ts',
  faults: 'packages/fault-run/src/main.ts',
};

const entryPoints = Object.fromEntries(
  Object.entries(PROGRAMS).filter(([, source]) => existsSync(source)),
);

await rm('dist', { recursive: true, force: true });
await build({
  entryPoints,
  outdir: 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: true,
  logLevel: 'warning',
  // hot-shots loads this optional native module only for Unix sockets.
  external: ['unix-dgram', 'msgpackr-extract'],
  banner: {
    // CommonJS dependencies inside an ESM bundle call require().
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
