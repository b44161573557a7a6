/** The fleet of a run with its observer, callers' memory and violations. */
import { computeChecksum, createRandom, type Random } from '@jujubelanding/random';
import { Fleet, HostState, OPERATOR_TOKEN, type FleetNode } from '@jujubelanding/simulation';
import type { Log } from '@jujubelanding/log';
import type { ModelEngine, PlainService } from '@jujubelanding/stand-ins';
import { FencingMode, ServiceKind } from '@jujubelanding/types';
import { ReplyKind, sendRequest, type CallerReply, type CallerRequest } from './caller.js';
import { ConfigurationCheck } from './configuration-check.js';
import { JobBook } from './job-book.js';
import { applyMutation, type Mutation } from './mutation.js';
import { Observer } from './observer.js';
import { Violations } from './violation.js';

export const TEAM_KEY = 'team-key';

export const ENTRY_VM_COUNT = 5;

const AVAILABILITY_ZONES = ['jhb-east', 'jhb-west', 'pta-north', 'ekurhuleni'];

interface WorkerPlan {
  id: string;
  service: string;
  fencing: FencingMode;
}

/** Engines of both fencing modes; few slots, so that online and batch compete. */
const ENGINE_PLANS: WorkerPlan[] = [
  { id: 'advisor-1', service: 'glass-advisor', fencing: FencingMode.Checked },
  { id: 'advisor-2', service: 'glass-advisor', fencing: FencingMode.Checked },
  { id: 'advisor-3', service: 'glass-advisor', fencing: FencingMode.Checked },
  { id: 'writer-1', service: 'match-writer', fencing: FencingMode.Ignored },
  { id: 'writer-2', service: 'match-writer', fencing: FencingMode.Ignored },
];

export const PLAIN_SERVICE = 'stock-ledger';

const PLAIN_WORKERS = ['ledger-1', 'ledger-2'];

/** Model of each engine service. */
export const MODELS: Record<string, string> = {
  'glass-advisor': 'advisor',
  'match-writer': 'writer',
};

export const ENGINE_SLOTS = 4;

const WARM_UP_MS = 15_000;

export interface WorldOptions {
  seed: number;
  mutation?: Mutation;
  createLog?: (entryVmId: string) => (part: string) => Log;
}

interface InitialRecord {
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
  name: MODELS[service]!,
  schemaVersion: 1,
  spec: { service, version: 'v1', minWorkers: 1, maxTokens: 64 },
});

const INITIAL_RECORDS: InitialRecord[] = [
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

export class World {
  readonly fleet: Fleet;

  /** Random choices of callers; separate, so that they do not depend on the fleet's draws. */
  readonly random: Random;

  readonly engines: ModelEngine[] = [];

  readonly services: PlainService[] = [];

  readonly violations: Violations;

  readonly observer: Observer;

  readonly jobs: JobBook;

  readonly configuration: ConfigurationCheck;

  /** Entry VMs in the course of a planned stop. */
  readonly stopping = new Set<string>();

  /** Replies by how they ended. */
  readonly replies = new Map<string, number>();

  /** Requests that are in progress. */
  readonly open = new Set<Promise<void>>();

  constructor(options: WorldOptions) {
    this.fleet = new Fleet({
      seed: options.seed,
      availabilityZones: AVAILABILITY_ZONES,
      entryVmCount: ENTRY_VM_COUNT,
      diskVmCount: 3,
      localDelayMs: 0.5,
      remoteDelayMs: 1.5,
      vmListLagMs: 300,
      ...(options.createLog === undefined ? {} : { createLog: options.createLog }),
      prepare: (node) => {
        this.observer.watchNode(node);
        if (options.mutation !== undefined) applyMutation(options.mutation, node, this.fleet);
      },
    });
    this.random = createRandom(options.seed + 1);
    this.violations = new Violations(() => this.fleet.timer.now());
    this.observer = new Observer(this.fleet, this.violations);
    this.jobs = new JobBook(this.violations);
    this.configuration = new ConfigurationCheck(this.fleet, this.violations);
  }

  /** Starts workers and entry VMs, writes the records and waits until they are in force. */
  async start(): Promise<void> {
    ENGINE_PLANS.forEach((plan, index) => this.addEngine(plan, index));
    PLAIN_WORKERS.forEach((id, index) => {
      const zone = AVAILABILITY_ZONES[index]!;
      const service = this.fleet.addPlainService(id, PLAIN_SERVICE, zone);
      this.observer.watchPlainService(id, service);
      this.services.push(service);
    });
    this.fleet.startAll();
    this.configuration.start();
    await this.fleet.advance(WARM_UP_MS);
    for (const record of INITIAL_RECORDS) {
      await this.applyInitial(record);
    }
    await this.fleet.advance(WARM_UP_MS);
  }

  /** Sends a request as a member of the team. */
  send(node: FleetNode, request: CallerRequest): Promise<CallerReply> {
    const headers = { authorization: `Bearer ${TEAM_KEY}`, ...request.headers };
    return this.exchange(node, { ...request, headers });
  }

  /** Sends an administration request. */
  administer(node: FleetNode, request: Omit<CallerRequest, 'headers'>): Promise<CallerReply> {
    const headers = {
      authorization: `Bearer ${OPERATOR_TOKEN}`,
      'content-type': 'application/json',
    };
    return this.exchange(node, { ...request, headers });
  }

  /** Entry VMs that accept connections. */
  listening(): FleetNode[] {
    return this.fleet
      .liveNodes()
      .filter((node) => node.host.state() !== HostState.Crashed && node.entryVm.isListening());
  }

  /** Chooses a listening entry VM; undefined when all are down. */
  chooseNode(target: number): FleetNode | undefined {
    const nodes = this.listening();
    return nodes[target % Math.max(1, nodes.length)];
  }

  /** Follows a request without waiting for it. */
  track(work: Promise<void>): void {
    this.open.add(work);
    void work.finally(() => this.open.delete(work));
  }

  availabilityZones(): readonly string[] {
    return AVAILABILITY_ZONES;
  }

  private async exchange(node: FleetNode, request: CallerRequest): Promise<CallerReply> {
    const reply = await sendRequest(this.fleet.timer, node, request);
    const end = reply.outcome ?? (reply.kind === ReplyKind.Answered ? 'succeeded' : reply.kind);
    this.replies.set(end, (this.replies.get(end) ?? 0) + 1);
    return reply;
  }

  private addEngine({ id, service, fencing }: WorkerPlan, index: number): void {
    const zone = AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length]!;
    const engine = this.fleet.addEngine(id, service, zone, {
      slots: ENGINE_SLOTS,
      fencing,
      models: [MODELS[service]!],
      // Few tokens per second keep the number of simulated events low.
      stepBaseMs: 60,
      stepPerStreamMs: 5,
    });
    this.observer.watchEngine(engine);
    this.engines.push(engine);
  }

  private async applyInitial({ kind, name, schemaVersion, spec }: InitialRecord): Promise<void> {
    const reply = this.administer(this.fleet.node('entry-0'), {
      method: 'PUT',
      path: `/admin/v1/records/${kind}/${name}`,
      body: JSON.stringify({ schemaVersion, spec, expectedRevision: 0 }),
    });
    await this.fleet.advance(1000);
    const { status, body } = await reply;
    if (status >= 300) throw new Error(`record ${kind}/${name} was refused: ${status} ${body}`);
  }
}
