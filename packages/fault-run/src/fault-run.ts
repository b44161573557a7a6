/** Runs a fleet under load, injects the faults one at a time and checks the outcomes. */
import { setTimeout as sleep } from 'node:timers/promises';
import { LocalFleet, Session, TEAM_KEY } from '@jujubelanding/quickstart';
import { EntryPointList } from './entry-point-list.js';
import { FaultKind, FAULT_HANDLERS } from './fault-handlers.js';
import { OnlineLoad } from './online-load.js';
import { ORDER_SERVICE_NAME, OrderService } from './order-service.js';
import { OrderLoad } from './order-load.js';

export interface FaultRunOptions {
  /** Folder with the built programs. */
  programsDirectory: string;
  faults: readonly FaultKind[];
  print: (line: string) => void;
}

const ENTRY_VM_COUNT = 4;

const ENGINE_COUNT = 3;

const ITEMS_PER_JOB = 400;

/** Time limit for a configuration change to be in force, once the key-value service responds again. */
const IN_FORCE_LIMIT_MS = 4000;

/** Time within which the fleet hears from a recovered VM again; IN_FORCE_LIMIT_MS counts from its end. */
const RECOVERY_WAIT_MS = 3000;

const ORDER_SERVICE_RECORD = {
  kind: 'service',
  name: ORDER_SERVICE_NAME,
  schemaVersion: 2,
  spec: {
    kind: 'plainService',
    fencing: 'checked',
    slotsPerWorker: 8,
    requestTimeoutMs: 5000,
    nonIdempotentPaths: ['/orders'],
  },
};

interface SubmittedJob {
  id: string;
  fault: FaultKind;
}

export class FaultRun {
  private readonly fleet: LocalFleet;

  private readonly entryPoints: EntryPointList;

  private readonly online: OnlineLoad;

  private readonly orderLoad: OrderLoad;

  private readonly orderService = new OrderService();

  private readonly jobs: SubmittedJob[] = [];

  private readonly problems: string[] = [];

  constructor(private readonly options: FaultRunOptions) {
    const { programsDirectory } = options;
    this.fleet = new LocalFleet({
      programsDirectory,
      entryVms: ENTRY_VM_COUNT,
      engines: ENGINE_COUNT,
    });
    this.entryPoints = new EntryPointList(() => this.fleet.entryVms);
    this.online = new OnlineLoad(this.entryPoints);
    this.orderLoad = new OrderLoad(this.entryPoints, TEAM_KEY);
  }

  /** Injects all faults; resolves with the wrong outcomes found. */
  async run(): Promise<string[]> {
    try {
      await this.start();
      const stops = [this.online.start(), this.orderLoad.start()];
      for (const fault of this.options.faults) await this.runFault(fault);
      await Promise.all(stops.map((stop) => stop()));
      for (const job of this.jobs) await this.checkJob(job);
    } catch (thrown) {
      this.problems.push(String(thrown));
    }
    await this.fleet.stop();
    this.orderService.stop();
    const { problems, orderLoad, online, orderService } = this;
    return [...problems, ...online.problems, ...orderLoad.check(orderService.executions)];
  }

  private async start(): Promise<void> {
    await this.fleet.start();
    await this.fleet.registerBackendServer(
      'order-desk-0',
      ORDER_SERVICE_NAME,
      await this.orderService.start(),
    );
    const session = this.createSession();
    await session.awaitReady();
    await session.applyRecords();
    await session.applyRecord(ORDER_SERVICE_RECORD);
    await session.awaitRecordsActive();
  }

  private async runFault(fault: FaultKind): Promise<void> {
    const { fleet, entryPoints, online, orderLoad } = this;
    const before = { ...online.counts };
    const id = await this.createSession().submitJob(ITEMS_PER_JOB, `job-${fault}`);
    this.jobs.push({ id, fault });
    await FAULT_HANDLERS[fault]({ fleet, entryPoints });
    await sleep(RECOVERY_WAIT_MS);
    const inForceMs = await this.measureInForce(fault);
    const counts = Object.entries(online.counts)
      .map(([name, count]) => `${name}=${count - before[name as keyof typeof before]}`)
      .join(' ');
    this.options.print(
      `fault=${fault} ${counts} orders.answered=${orderLoad.answered.size} ` +
        `orders.refused=${orderLoad.refused.size} inForceMs=${inForceMs}`,
    );
  }

  /** Writes a record and returns the time until it is in force on all live entry VMs. */
  private async measureInForce(fault: FaultKind): Promise<number> {
    const session = this.createSession();
    await session.applyRecord({ ...ORDER_SERVICE_RECORD, name: `service-${fault.toLowerCase()}` });
    const writtenAt = Date.now();
    await session.awaitRecordsActive();
    const inForceMs = Date.now() - writtenAt;
    if (inForceMs > IN_FORCE_LIMIT_MS) {
      this.problems.push(`${fault}: the record was in force only after ${inForceMs} ms`);
    }
    return inForceMs;
  }

  private async checkJob({ id, fault }: SubmittedJob): Promise<void> {
    const session = this.createSession();
    const first = await session.awaitJobResults(id);
    const second = await session.awaitJobResults(id);
    const { items, succeeded, failed, digest } = first;
    this.options.print(`job=${fault} items=${items} succeeded=${succeeded} failed=${failed}`);
    if (items !== ITEMS_PER_JOB || succeeded !== ITEMS_PER_JOB || failed !== 0) {
      this.problems.push(
        `job of ${fault}: ${items} items, ${succeeded} succeeded, ${failed} failed`,
      );
    }
    if (digest !== second.digest) this.problems.push(`job of ${fault}: its results changed`);
  }

  private createSession(): Session {
    return new Session(this.fleet.listCallerAddresses());
  }
}
