// Bundles the programs that the deploy file names into target/.
import { bundlePrograms } from './bundle.mjs';

await bundlePrograms(
  { 'entry-vm': 'platform/src/main.ts', storage: 'platform/src/storage-main.ts' },
  'target',
);
