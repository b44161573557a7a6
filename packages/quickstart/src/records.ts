/** Operator records that configure the local fleet. */
import { computeChecksum } from '@jujubelanding/random';
import { MODEL_NAME, PLAIN_SERVICE_NAME, MODEL_SERVICE_NAME } from './local-fleet.js';

export const TEAM_KEY = 'quickstart-team-key';

const createServiceRecord = (name: string, kind: string, nonIdempotentPaths: string[]) => ({
  kind: 'service',
  name,
  schemaVersion: 2,
  spec: {
    kind,
    fencing: 'checked',
    slotsPerWorker: 8,
    requestTimeoutMs: 30_000,
    nonIdempotentPaths,
  },
});

export const RECORDS = [
  createServiceRecord(MODEL_SERVICE_NAME, 'modelEngine', []),
  createServiceRecord(PLAIN_SERVICE_NAME, 'plainService', ['/orders']),
  { kind: 'version', name: 'advisor-1', schemaVersion: 1, spec: { weight: 'advisor-1' } },
  {
    kind: 'model',
    name: MODEL_NAME,
    schemaVersion: 1,
    spec: { service: MODEL_SERVICE_NAME, version: 'advisor-1', minWorkers: 1, maxTokens: 512 },
  },
  {
    kind: 'team',
    name: 'panel-shop',
    schemaVersion: 2,
    spec: {
      keyHashes: [computeChecksum(TEAM_KEY)],
      requestsPerSecond: 1000,
      burst: 1000,
      concurrency: 200,
      maxBodyBytes: 10_000_000,
      maxJobItems: 100_000,
      batchWeight: 1,
    },
  },
];
