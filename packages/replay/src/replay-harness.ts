/** Test harness of a trace: the simulated fleet and what callers and the observer recorded. */
import {
  Fleet,
  OPERATOR_TOKEN,
  type FleetNode,
  type FleetOptions,
} from '@jujubelanding/simulation';
import type { ModelEngine, PlainService } from '@jujubelanding/stand-ins';
import { ServiceKind, type ItemResult } from '@jujubelanding/types';
import { Caller, ReplyKind, type CallerReply, type CallerRequest } from './caller.js';
import { ConfigurationWatcher } from './configuration-watcher.js';
import { Observer } from './observer.js';
import type { EventOf, EventKind, TraceEvent } from './trace/events.js';
import { listWorkers, type Header, type ServiceSpec } from './trace/header.js';

/** Time in which a new fleet agrees on its members and shard owners. */
const STARTUP_MS = 10_000;

/** Longer than the bound on the time until a record is active on all entry VMs. */
const ACTIVATION_WAIT_MS = 5000;

const RECORD_WRITE_WAIT_MS = 500;

export interface SubmittedJob {
  event: EventOf<EventKind.Submit>;
  id?: string;
  /** First version read of each result, by item index. */
  results: Map<number, string>;
  /** Number of items that appeared twice in one response. */
  duplicates: number;
  /** Number of times that a result differed from its first version. */
  changes: number;
  /** Status read after the end of the trace. */
  status?: string;
  /** Results read after the end of the trace. */
  finalResults?: ItemResult[];
}

export interface PlacedWorker {
  id: string;
  service: ServiceSpec;
  availabilityZone: string;
}

export type ReplayHarnessOptions = Pick<FleetOptions, 'createLog' | 'prepare'>;

export class ReplayHarness {
  readonly fleet: Fleet;

  readonly observer: Observer;

  readonly configuration: ConfigurationWatcher;

  /** Events that have started, by id. */
  readonly events = new Map<string, TraceEvent>();

  /** Ids of the events whose planned stop has completed. */
  readonly stopped = new Set<string>();

  readonly workers = new Map<string, PlacedWorker>();

  readonly engines = new Map<string, ModelEngine>();

  readonly plainServices = new Map<string, PlainService>();

  /** Replies by request name: the event id, followed by a slash and the position for a burst. */
  readonly replies = new Map<string, CallerReply>();

  /** Entry VM to which each request was sent, by request name. */
  readonly entryVmByRequest = new Map<string, string>();

  readonly jobs = new Map<string, SubmittedJob>();

  /** Virtual time at which the trace starts. */
  startedAt = 0;

  /** Revisions of the header's records, by kind and name. */
  private readonly initialRevisions = new Map<string, number>();

  private readonly caller: Caller;

  constructor(
    readonly header: Header,
    options: ReplayHarnessOptions = {},
  ) {
    this.fleet = new Fleet({
      seed: header.seed,
      availabilityZones: header.availabilityZones,
      entryVmCount: header.entryVms.count,
      diskVmCount: header.entryVms.disks,
      localDelayMs: header.localDelayMs,
      remoteDelayMs: header.remoteDelayMs,
      vmListLagMs: header.vmListLagMs,
      settings: { entryPointLifetimeMs: header.entryPointLifetimeMs },
      ...options,
    });
    const { timer, keyValue } = this.fleet;
    keyValue.faults.latency = header.keyValueLatency;
    this.observer = new Observer(timer);
    this.configuration = new ConfigurationWatcher(this.fleet);
    this.caller = new Caller(timer, header.callerDelayMs);
  }

  /** Starts workers and entry VMs, writes the header's records and waits until they are active. */
  async start(): Promise<void> {
    this.header.services.forEach((service) => this.addService(service));
    this.fleet.startEntryVms();
    this.configuration.start();
    await this.fleet.advance(STARTUP_MS);
    for (const record of this.header.records) await this.writeInitialRecord(record);
    await this.fleet.advance(ACTIVATION_WAIT_MS);
    this.startedAt = this.fleet.timer.now();
  }

  /** Returns the time since the start of the trace. */
  now(): number {
    return this.fleet.timer.now() - this.startedAt;
  }

  /** Sends a request with the team's key and stores the reply under the given name. */
  send(name: string, entryVmId: string, request: CallerRequest): Promise<CallerReply> {
    const headers = { authorization: `Bearer ${this.header.teamKey}`, ...request.headers };
    return this.sendAndRecord(name, this.fleet.node(entryVmId), { ...request, headers });
  }

  /** Sends an administration request. */
  administer(name: string, entryVmId: string, request: Omit<CallerRequest, 'headers'>) {
    const headers = {
      authorization: `Bearer ${OPERATOR_TOKEN}`,
      'content-type': 'application/json',
    };
    return this.sendAndRecord(name, this.fleet.node(entryVmId), { ...request, headers });
  }

  getInitialRevision(kind: string, name: string): number {
    return this.initialRevisions.get(`${kind}/${name}`) ?? 0;
  }

  private async sendAndRecord(
    name: string,
    node: FleetNode,
    request: CallerRequest,
  ): Promise<CallerReply> {
    const { reply, done } = this.caller.send(node, request);
    this.replies.set(name, reply);
    this.entryVmByRequest.set(name, node.host.id);
    await done;
    return reply;
  }

  private addService(service: ServiceSpec): void {
    const { availabilityZones } = this.header;
    for (const id of listWorkers(service)) {
      const availabilityZone = availabilityZones[this.workers.size % availabilityZones.length]!;
      this.workers.set(id, { id, service, availabilityZone });
      if (service.kind === ServiceKind.ModelEngine) this.addEngine(id, service, availabilityZone);
      else this.addPlainService(id, service, availabilityZone);
    }
  }

  private addEngine(id: string, service: ServiceSpec, availabilityZone: string): void {
    const { slots, fencing, models, stepBaseMs, stepPerStreamMs } = service;
    const engine = this.fleet.addEngine(id, service.name, availabilityZone, {
      slots,
      fencing,
      models,
      ...(stepBaseMs === undefined ? {} : { stepBaseMs }),
      ...(stepPerStreamMs === undefined ? {} : { stepPerStreamMs }),
    });
    this.observer.watchEngine(engine);
    this.engines.set(id, engine);
  }

  private addPlainService(id: string, service: ServiceSpec, availabilityZone: string): void {
    const plainService = this.fleet.addPlainService(id, service.name, availabilityZone);
    this.observer.watchPlainService(id, plainService);
    this.plainServices.set(id, plainService);
  }

  private async writeInitialRecord(record: Header['records'][number]): Promise<void> {
    const { kind, name, schemaVersion, spec } = record;
    const written = this.administer(`header/${kind}/${name}`, 'entry-0', {
      method: 'PUT',
      path: `/admin/v1/records/${kind}/${name}`,
      body: JSON.stringify({ schemaVersion, spec, expectedRevision: 0 }),
    });
    await this.fleet.advance(RECORD_WRITE_WAIT_MS);
    const { kind: replyKind, status, body } = await written;
    if (replyKind !== ReplyKind.Answered || status >= 300) {
      throw new Error(`header record ${kind}/${name} was refused: ${status} ${body}`);
    }
    const { revision } = JSON.parse(body) as { revision: number };
    this.initialRevisions.set(`${kind}/${name}`, revision);
  }
}
