/** Records that are written before a run starts. */
import { computeChecksum } from '@jujubelanding/random';
import { FencingMode, ServiceKind } from '@jujubelanding/types';
import { ENGINE_SLOTS, MODEL_BY_SERVICE, PLAIN_SERVICE, TEAM_KEY } from './fleet-layout.js';

export interface InitialRecord {
  kind: string;
  name: string;
  schemaVersion: number;
  spec: Record<string, unknown>;
}

const createEngineService = (name: string, fencing: FencingMode): InitialRecord => ({
  kind: 'service',
  name,
  schemaVersion: 2,
  spec: {
    kind: ServiceKind.ModelEngine,
    fencing,
    slotsPerWorker: ENGINE_SLOTS,
    requestTimeoutMs: 30_000,
    nonIdempotentPaths: [],
  },
});

const createModel = (service: string): InitialRecord => ({
  kind: 'model',
  name: MODEL_BY_SERVICE[service]!,
  schemaVersion: 1,
  spec: { service, version: 'v1', minWorkers: 1, maxTokens: 64 },
});

/** A model and an adapter that no request uses, so that operators can rescale them freely. */
export const PLACED_RECORDS: readonly InitialRecord[] = [
  {
    kind: 'model',
    name: 'stylist',
    schemaVersion: 1,
    spec: { service: 'glass-advisor', version: 'v1', minWorkers: 1, maxTokens: 64 },
  },
  {
    kind: 'adapter',
    name: 'stylist-frames',
    schemaVersion: 1,
    spec: { model: 'stylist', version: 'v1', minWorkers: 1 },
  },
];

export const INITIAL_RECORDS: InitialRecord[] = [
  createEngineService('glass-advisor', FencingMode.Checked),
  createEngineService('match-writer', FencingMode.Ignored),
  {
    kind: 'service',
    name: PLAIN_SERVICE,
    schemaVersion: 2,
    spec: {
      kind: ServiceKind.PlainService,
      fencing: FencingMode.Ignored,
      slotsPerWorker: 16,
      requestTimeoutMs: 10_000,
      nonIdempotentPaths: ['/orders'],
    },
  },
  { kind: 'version', name: 'v1', schemaVersion: 1, spec: { weight: 'weight-1' } },
  createModel('glass-advisor'),
  createModel('match-writer'),
  ...PLACED_RECORDS,
  {
    kind: 'team',
    name: 'traders',
    schemaVersion: 2,
    spec: {
      keyHashes: [computeChecksum(TEAM_KEY)],
      requestsPerSecond: 10_000,
      burst: 10_000,
      concurrency: 10_000,
      maxBodyBytes: 1_000_000,
      maxJobItems: 10_000,
      batchWeight: 1,
    },
  },
];
