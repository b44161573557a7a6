// Bundles the programs into dist/.
import { existsSync } from 'node:fs';
import { bundlePrograms } from './bundle.mjs';

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

await bundlePrograms(entryPoints, 'dist');
