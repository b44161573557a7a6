/** The fleet of a run with its observer, callers' memory and violations. */
import { createRandom, type Random } from '@jujubelanding/random';
import { Fleet, HostState, OPERATOR_TOKEN, type FleetNode } from '@jujubelanding/simulation';
import type { Log } from '@jujubelanding/log';
import type { ModelEngine, PlainService } from '@jujubelanding/stand-ins';
import { ReplyKind, sendRequest, type CallerReply, type CallerRequest } from './caller.js';
import { ConfigurationCheck } from './configuration-check.js';
import { CopyBook } from './copy-book.js';
import {
  AVAILABILITY_ZONES,
  DISK_VM_COUNT,
  ENGINE_PLANS,
  ENGINE_SLOTS,
  ENTRY_VM_COUNT,
  MODELS,
  PLAIN_SERVICE,
  PLAIN_WORKERS,
  SEGMENT_COPIES,
  TEAM_KEY,
  WEIGHT_BYTES,
  type WorkerPlan,
} from './fleet-plan.js';
import { INITIAL_RECORDS, type InitialRecord } from './initial-records.js';
import { JobBook } from './job-book.js';
import { LeaseCheck } from './lease-check.js';
import { LongFaults } from './long-fault.js';
import { applyMutation, type Mutation } from './mutation.js';
import { Observer } from './observer.js';
import { PlacementCheck } from './placement-check.js';
import { ServiceCheck } from './service-check.js';
import { Violations } from './violation.js';

const WARM_UP_MS = 15_000;

export interface WorldOptions {
  seed: number;
  mutation?: Mutation;
  createLog?: (entryVmId: string) => (part: string) => Log;
}

export class World {
  readonly fleet: Fleet;

  /** Random choices of callers; separate, so that they do not depend on the fleet's draws. */
  readonly random: Random;

  readonly engines: ModelEngine[] = [];

  readonly plainServices: PlainService[] = [];

  readonly violations: Violations;

  readonly observer: Observer;

  readonly jobs: JobBook;

  readonly configuration: ConfigurationCheck;

  readonly copies: CopyBook;

  readonly leases: LeaseCheck;

  readonly placement: PlacementCheck;

  readonly services: ServiceCheck;

  readonly longFaults: LongFaults;

  /** Faults and events that are rare enough to be counted. */
  readonly faultCounts = new Map<string, number>();

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
      diskVmCount: DISK_VM_COUNT,
      settings: { segmentCopies: SEGMENT_COPIES },
      localDelayMs: 0.5,
      remoteDelayMs: 1.5,
      vmListLagMs: 300,
      ...(options.createLog === undefined ? {} : { createLog: options.createLog }),
      prepare: (node) => {
        this.observer.watchNode(node);
        this.placement.watchNode(node);
        if (options.mutation !== undefined) applyMutation(options.mutation, node, this.fleet);
        this.copies.watchNode(node);
      },
    });
    this.random = createRandom(options.seed + 1);
    this.violations = new Violations(() => this.fleet.timer.now());
    this.leases = new LeaseCheck(this.fleet, this.violations);
    this.observer = new Observer(this.fleet, this.violations, this.leases);
    this.jobs = new JobBook(this.violations);
    this.configuration = new ConfigurationCheck(this.fleet, this.violations);
    this.copies = new CopyBook(this.fleet, this.violations);
    this.placement = new PlacementCheck(this);
    this.services = new ServiceCheck(this);
    this.longFaults = new LongFaults(this.fleet);
  }

  /** Starts workers and entry VMs, writes the records and waits until they are in force. */
  async start(): Promise<void> {
    ENGINE_PLANS.forEach((plan, index) => this.addEngine(plan, index));
    PLAIN_WORKERS.forEach((id, index) => {
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
      this.leases,
      this.placement,
      this.services,
    ].forEach((check) => check.start());
    ['weight-1', 'stylist', 'stylist-frames', ...Object.values(MODELS)].forEach((name) =>
      this.fleet.weightStore.set({ name, bytes: WEIGHT_BYTES }),
    );
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
      .listLiveNodes()
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

  /** Starts an entry VM again; a long fault also strikes its new process. */
  startEntryVm(id: string): void {
    this.fleet.startEntryVm(id);
    this.longFaults.reapply();
  }

  /** Engines of the service that offers a model. */
  enginesOf(model: string): ModelEngine[] {
    return this.engines.filter((_, index) => MODELS[ENGINE_PLANS[index]!.service] === model);
  }

  countFault(name: string, count: number): void {
    this.faultCounts.set(name, (this.faultCounts.get(name) ?? 0) + count);
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
