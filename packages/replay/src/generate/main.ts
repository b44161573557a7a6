/** Writes the traces with `source: generator` to `traces/`. */
import { writeFile } from 'node:fs/promises';
import { createGlassTradersDay, createSveppasmidjanDay } from './days.js';
import { createBurstOverBatch, createLeavingWorker, createPlannedStop } from './load.js';
import { createRacingOperators } from './operators.js';
import { createDiskTrouble, createKeyValueOutage, createZoneLoss } from './outages.js';
import { createWorkerLoss } from './worker-loss.js';

const TRACE_FACTORIES = [
  createGlassTradersDay,
  createSveppasmidjanDay,
  createBurstOverBatch,
  createPlannedStop,
  createLeavingWorker,
  createWorkerLoss,
  createZoneLoss,
  createKeyValueOutage,
  createDiskTrouble,
  createRacingOperators,
];

for (const create of TRACE_FACTORIES) {
  const writer = create();
  const file = new URL(`../../traces/${writer.header.name}.ndjson`, import.meta.url);
  await writeFile(file, writer.format());
  console.log(`trace=${writer.header.name}`);
}
