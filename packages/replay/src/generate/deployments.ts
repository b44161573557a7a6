/** Trace headers for the two deployments described in the design document. */
import { computeChecksum } from '@jujubelanding/random';
import { FencingMode, RecordKind, ServiceKind } from '@jujubelanding/types';
import { FORMAT_VERSION, TraceSource, type Header, type ServiceSpec } from '../trace/header.js';

const SLOTS = 8;

const MAX_TOKENS = 256;

const TEAM_KEY = 'team-key';

const CALLER_DELAY_MS = 1;

const VM_LIST_LAG_MS = 300;

interface Deployment {
  region: string;
  availabilityZones: string[];
  remoteDelayMs: number;
  entryVmCount: number;
  engine: ServiceSpec;
  plainService: ServiceSpec;
  model: string;
  team: string;
}

const createEngine = (name: string, workers: number, model: string): ServiceSpec => ({
  name,
  kind: ServiceKind.ModelEngine,
  workers,
  slots: SLOTS,
  fencing: FencingMode.Checked,
  models: [model],
  stepBaseMs: 40,
  stepPerStreamMs: 1,
});

const createPlainService = (name: string, workers: number): ServiceSpec => ({
  name,
  kind: ServiceKind.PlainService,
  workers,
  slots: 16,
  fencing: FencingMode.Ignored,
  models: [],
});

export const GLASS_TRADERS: Deployment = {
  region: 'za-gauteng',
  availabilityZones: ['jhb-east', 'jhb-west', 'pta-north', 'ekurhuleni'],
  remoteDelayMs: 1.5,
  entryVmCount: 7,
  engine: createEngine('glass-advisor', 6, 'advisor'),
  plainService: createPlainService('stock-ledger', 4),
  model: 'advisor',
  team: 'glass-traders',
};

export const SVEPPASMIDJAN: Deployment = {
  region: 'sudvestur',
  availabilityZones: ['hofn-a', 'fjordur-b', 'nes-c', 'selfoss-d'],
  remoteDelayMs: 1,
  entryVmCount: 8,
  engine: createEngine('radgjafar', 13, 'radgjafi'),
  plainService: createPlainService('pantanakerfi', 4),
  model: 'radgjafi',
  team: 'sveppasmidjan',
};

const createServiceRecord = (
  { name, kind, fencing, slots }: ServiceSpec,
  nonIdempotentPaths: string[],
): Header['records'][number] => ({
  kind: RecordKind.Service,
  name,
  schemaVersion: 2,
  spec: { kind, fencing, slotsPerWorker: slots, requestTimeoutMs: 30_000, nonIdempotentPaths },
});

const createRecords = ({ engine, plainService, model, team }: Deployment): Header['records'] => [
  createServiceRecord(engine, []),
  createServiceRecord(plainService, ['/orders']),
  { kind: RecordKind.Version, name: 'v1', schemaVersion: 1, spec: { weight: 'weight-1' } },
  {
    kind: RecordKind.Model,
    name: model,
    schemaVersion: 1,
    spec: {
      service: engine.name,
      version: 'v1',
      minWorkers: engine.workers,
      maxTokens: MAX_TOKENS,
    },
  },
  {
    kind: RecordKind.Team,
    name: team,
    schemaVersion: 2,
    spec: {
      keyHashes: [computeChecksum(TEAM_KEY)],
      requestsPerSecond: 1000,
      burst: 1000,
      concurrency: 1000,
      maxBodyBytes: 1_000_000,
      maxJobItems: 10_000,
      batchWeight: 1,
    },
  },
];

/** Creates the header of a trace on a deployment. */
export const createHeader = (
  deployment: Deployment,
  {
    name,
    description,
    seed,
    durationMs,
  }: Pick<Header, 'name' | 'description' | 'seed' | 'durationMs'>,
): Header => ({
  format: FORMAT_VERSION,
  name,
  source: TraceSource.Generator,
  description,
  seed,
  region: deployment.region,
  availabilityZones: deployment.availabilityZones,
  localDelayMs: 0.5,
  remoteDelayMs: deployment.remoteDelayMs,
  callerDelayMs: CALLER_DELAY_MS,
  vmListLagMs: VM_LIST_LAG_MS,
  keyValueLatency: { floorMs: 1, meanExtraMs: 1 },
  entryVms: { count: deployment.entryVmCount, disks: 3 },
  entryPointLifetimeMs: 5000,
  services: [deployment.engine, deployment.plainService],
  records: createRecords(deployment),
  teamKey: TEAM_KEY,
  durationMs,
});

export type { Deployment };
