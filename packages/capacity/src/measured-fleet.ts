/** A simulated fleet with an adjustable load that counts its key-value calls. */
import { computeChecksum } from '@jujubelanding/random';
import { Fleet, OPERATOR_TOKEN, type FleetNode } from '@jujubelanding/simulation';
import { FencingMode, ServiceKind, type BatchItem } from '@jujubelanding/types';
import { PurposeCounters } from './key-value-purposes.js';
import { AVAILABILITY_ZONES } from './static-state.js';

export interface FleetLoad {
  entryVms: number;
  workers: number;
  jobs: number;
  itemsPerJob: number;
  claimsPerSecond: number;
  recordChanges: number;
}

const MAX_DISK_VM_COUNT = 8;
const WARM_UP_MS = 20_000;
/** Virtual time that a record write takes, including the wait for its reply. */
const WRITE_WAIT_MS = 1000;
const ENGINE_SLOTS = 16;

const INITIAL_RECORDS = [
  {
    path: 'service/advisor-service',
    schemaVersion: 2,
    spec: {
      kind: ServiceKind.ModelEngine,
      fencing: FencingMode.Checked,
      slotsPerWorker: ENGINE_SLOTS,
      requestTimeoutMs: 30_000,
      nonIdempotentPaths: [],
    },
  },
  { path: 'version/v1', schemaVersion: 1, spec: { weight: 'weight-1' } },
  {
    path: 'model/advisor',
    schemaVersion: 1,
    spec: { service: 'advisor-service', version: 'v1', minWorkers: 1, maxTokens: 64 },
  },
  {
    path: 'team/traders',
    schemaVersion: 2,
    spec: {
      keyHashes: [computeChecksum('key')],
      requestsPerSecond: 10_000,
      burst: 10_000,
      concurrency: 10_000,
      maxBodyBytes: 1_000_000,
      maxJobItems: 570_000,
      batchWeight: 1,
    },
  },
];

async function* createItems(count: number): AsyncGenerator<BatchItem> {
  for (let index = 0; index < count; index += 1) {
    yield { itemId: `item-${index}`, messages: [{ role: 'user', content: 'vase' }], maxTokens: 1 };
  }
}

export class MeasuredFleet {
  readonly fleet: Fleet;

  readonly counters = new PurposeCounters();

  constructor(
    readonly load: FleetLoad,
    seed: number,
  ) {
    this.fleet = new Fleet({
      seed,
      availabilityZones: AVAILABILITY_ZONES,
      entryVmCount: load.entryVms,
      diskVmCount: Math.min(MAX_DISK_VM_COUNT, load.entryVms),
      localDelayMs: 0.5,
      remoteDelayMs: 1.5,
      vmListLagMs: 300,
      prepare: (node) => this.counters.instrument(node.store),
    });
  }

  /** Starts all VMs, writes the records and waits until shard ownership and leases have settled. */
  async start(): Promise<void> {
    const { fleet, load } = this;
    for (let index = 0; index < load.workers; index += 1) {
      fleet.addEngine(
        `worker-${index}`,
        'advisor-service',
        AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length]!,
        {
          slots: ENGINE_SLOTS,
          models: ['advisor'],
          stepBaseMs: 100,
          stepPerStreamMs: 1,
        },
      );
    }
    fleet.startEntryVms();
    await fleet.advance(WARM_UP_MS);
    for (const { path, schemaVersion, spec } of INITIAL_RECORDS) {
      await this.writeRecord(path, { schemaVersion, spec, expectedRevision: 0 });
    }
    await fleet.advance(WARM_UP_MS);
  }

  /** Returns the node with an index; indexes beyond the last node start again at the first one. */
  node(index: number): FleetNode {
    return this.fleet.node(`entry-${index % this.load.entryVms}`);
  }

  /** Writes a record through the admin API and returns its revision. */
  async writeRecord(path: string, content: object): Promise<number> {
    const reply = Promise.resolve(
      this.node(0).entryVm.app.request(`http://entry/admin/v1/records/${path}`, {
        method: 'PUT',
        headers: {
          authorization: `Bearer ${OPERATOR_TOKEN}`,
          'content-type': 'application/json',
        },
        body: JSON.stringify(content),
      }),
    );
    await this.fleet.advance(WRITE_WAIT_MS);
    const response = await reply;
    const body = await response.text();
    if (!response.ok) throw new Error(`${path}: ${response.status} ${body}`);
    return (JSON.parse(body) as { revision: number }).revision;
  }

  async submitJob(index: number): Promise<void> {
    const submitted = await this.node(index).entryVm.components.batchJobs.submit({
      team: 'traders',
      idempotencyKey: `job-${index}`,
      model: 'advisor',
      maxAttempts: 3,
      dueAt: this.fleet.timer.wallClock() + 3_600_000,
      items: createItems(this.load.itemsPerJob),
      maxItems: 570_000,
    });
    if (submitted.isErr()) throw new Error(submitted.error.message);
  }

  /** Starts to send claims at a constant rate, from all VMs in turn. */
  startClaims(): void {
    const { claimsPerSecond } = this.load;
    if (claimsPerSecond === 0) return;
    let index = 0;
    this.fleet.timer.every(1000 / claimsPerSecond, () => {
      index += 1;
      const { claims } = this.node(index).entryVm.components;
      void claims.claim('traders', `key-${index}`, computeChecksum('body'), `request-${index}`);
    });
  }
}
