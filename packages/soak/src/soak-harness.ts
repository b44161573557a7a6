/** Test harness of a run: the simulated fleet, the state of the callers, and the checks. */
import { createRandom, type Random } from '@jujubelanding/random';
import { Fleet, HostState, OPERATOR_TOKEN, type FleetNode } from '@jujubelanding/simulation';
import type { Log } from '@jujubelanding/log';
import type { ModelEngine, PlainService } from '@jujubelanding/stand-ins';
import { ReplyKind, sendRequest, type CallerReply, type CallerRequest } from './caller.js';
import { ConfigurationCheck } from './configuration-check.js';
import { SegmentCopyTracker } from './segment-copy-tracker.js';
import {
  AVAILABILITY_ZONES,
  DISK_VM_COUNT,
  ENGINE_WORKERS,
  ENGINE_SLOTS,
  ENTRY_VM_COUNT,
  MODEL_BY_SERVICE,
  PLAIN_SERVICE,
  PLAIN_SERVICE_WORKERS,
  SEGMENT_COPIES,
  TEAM_KEY,
  WEIGHT_BYTES,
  type WorkerSpec,
} from './fleet-layout.js';
import { INITIAL_RECORDS, type InitialRecord } from './initial-records.js';
import { JobTracker } from './job-tracker.js';
import { LeaseCheck } from './lease-check.js';
import { LongFaultScheduler } from './long-fault-scheduler.js';
import { applyMutation, type Mutation } from './mutation.js';
import { Observer } from './observer.js';
import { PlacementCheck } from './placement-check.js';
import { PartitionServiceCheck } from './partition-service-check.js';
import { Violations } from './violation.js';

const STARTUP_MS = 15_000;

export interface SoakHarnessOptions {
  seed: number;
  mutation?: Mutation;
  createLog?: (entryVmId: string) => (part: string) => Log;
}

export class SoakHarness {
  readonly fleet: Fleet;

  /** Random numbers for callers; separate, so that they do not depend on how many the fleet draws. */
  readonly random: Random;

  readonly engines: ModelEngine[] = [];

  readonly plainServices: PlainService[] = [];

  readonly violations: Violations;

  readonly observer: Observer;

  readonly jobs: JobTracker;

  /** Check of the active configuration revisions. */
  readonly configuration: ConfigurationCheck;

  /** Tracker and checks of segment copies. */
  readonly copies: SegmentCopyTracker;

  readonly leaseCheck: LeaseCheck;

  readonly placementCheck: PlacementCheck;

  /** Check that both sides of a network partition serve online requests. */
  readonly services: PartitionServiceCheck;

  readonly longFaults: LongFaultScheduler;

  /** Number of rare faults and events by kind. */
  readonly faultCounts = new Map<string, number>();

  /** Entry VMs with a planned stop in progress. */
  readonly stoppingVms = new Set<string>();

  /** Number of replies by outcome. */
  readonly replyCounts = new Map<string, number>();

  /** Requests of callers and operators in progress. */
  readonly open = new Set<Promise<void>>();

  constructor(options: SoakHarnessOptions) {
    this.fleet = new Fleet({
      seed: options.seed,
      availabilityZones: AVAILABILITY_ZONES,
      entryVmCount: ENTRY_VM_COUNT,
      diskVmCount: DISK_VM_COUNT,
      settings: { segmentCopies: SEGMENT_COPIES },
      localDelayMs: 0.5,
      remoteDelayMs: 1.5,
      vmListLagMs: 300,
      ...(options.createLog === undefined ? {} : { createLog: options.createLog }),
      prepare: (node) => {
        this.observer.watchNode(node);
        this.placementCheck.watchNode(node);
        if (options.mutation !== undefined) applyMutation(options.mutation, node, this.fleet);
        this.copies.watchNode(node);
      },
    });
    this.random = createRandom(options.seed + 1);
    this.violations = new Violations(() => this.fleet.timer.now());
    this.leaseCheck = new LeaseCheck(this.fleet, this.violations);
    this.observer = new Observer(this.fleet, this.violations, this.leaseCheck);
    this.jobs = new JobTracker(this.violations);
    this.configuration = new ConfigurationCheck(this.fleet, this.violations);
    this.copies = new SegmentCopyTracker(this.fleet, this.violations);
    this.placementCheck = new PlacementCheck(this);
    this.services = new PartitionServiceCheck(this);
    this.longFaults = new LongFaultScheduler(this.fleet);
  }

  /** Starts workers and entry VMs, writes the initial records and waits until they are active. */
  async start(): Promise<void> {
    ENGINE_WORKERS.forEach((worker, index) => this.addEngine(worker, index));
    PLAIN_SERVICE_WORKERS.forEach((id, index) => {
      const zone = AVAILABILITY_ZONES[index]!;
      const service = this.fleet.addPlainService(id, PLAIN_SERVICE, zone);
      this.observer.watchPlainService(id, service);
      this.plainServices.push(service);
    });
    this.fleet.startEntryVms();
    [
      this.configuration,
      this.observer,
      this.copies,
      this.leaseCheck,
      this.placementCheck,
      this.services,
    ].forEach((check) => check.start());
    ['weight-1', 'stylist', 'stylist-frames', ...Object.values(MODEL_BY_SERVICE)].forEach((name) =>
      this.fleet.weightStore.set({ name, bytes: WEIGHT_BYTES }),
    );
    await this.fleet.advance(STARTUP_MS);
    for (const record of INITIAL_RECORDS) {
      await this.writeInitialRecord(record);
    }
    await this.fleet.advance(STARTUP_MS);
  }

  /** Sends a request with the key of the team. */
  send(node: FleetNode, request: CallerRequest): Promise<CallerReply> {
    const headers = { authorization: `Bearer ${TEAM_KEY}`, ...request.headers };
    return this.sendAndCount(node, { ...request, headers });
  }

  /** Sends an administration request as an operator. */
  administer(node: FleetNode, request: Omit<CallerRequest, 'headers'>): Promise<CallerReply> {
    const headers = {
      authorization: `Bearer ${OPERATOR_TOKEN}`,
      'content-type': 'application/json',
    };
    return this.sendAndCount(node, { ...request, headers });
  }

  /** Lists the entry VMs that accept connections. */
  listListeningNodes(): FleetNode[] {
    return this.fleet
      .listLiveNodes()
      .filter((node) => node.host.state() !== HostState.Crashed && node.entryVm.isListening());
  }

  /** Chooses a listening entry VM; returns undefined when all are down. */
  chooseNode(target: number): FleetNode | undefined {
    const nodes = this.listListeningNodes();
    return nodes[target % Math.max(1, nodes.length)];
  }

  /** Tracks a request without waiting for it. */
  trackRequest(request: Promise<void>): void {
    this.open.add(request);
    void request.finally(() => this.open.delete(request));
  }

  /** Restarts an entry VM and applies the active long fault to its new process. */
  startEntryVm(id: string): void {
    this.fleet.startEntryVm(id);
    this.longFaults.reapply();
  }

  /** Lists the engines of the service that offers a model. */
  listEnginesFor(model: string): ModelEngine[] {
    return this.engines.filter(
      (_, index) => MODEL_BY_SERVICE[ENGINE_WORKERS[index]!.service] === model,
    );
  }

  countFault(name: string, count: number): void {
    this.faultCounts.set(name, (this.faultCounts.get(name) ?? 0) + count);
  }

  availabilityZones(): readonly string[] {
    return AVAILABILITY_ZONES;
  }

  private async sendAndCount(node: FleetNode, request: CallerRequest): Promise<CallerReply> {
    const reply = await sendRequest(this.fleet.timer, node, request);
    const outcome = reply.outcome ?? (reply.kind === ReplyKind.Answered ? 'succeeded' : reply.kind);
    this.replyCounts.set(outcome, (this.replyCounts.get(outcome) ?? 0) + 1);
    return reply;
  }

  private addEngine({ id, service, fencing }: WorkerSpec, index: number): void {
    const zone = AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length]!;
    const engine = this.fleet.addEngine(id, service, zone, {
      slots: ENGINE_SLOTS,
      fencing,
      models: [MODEL_BY_SERVICE[service]!],
      // A low token rate keeps the number of simulated events low.
      stepBaseMs: 60,
      stepPerStreamMs: 5,
    });
    this.observer.watchEngine(engine);
    this.engines.push(engine);
  }

  private async writeInitialRecord({
    kind,
    name,
    schemaVersion,
    spec,
  }: InitialRecord): Promise<void> {
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
