/** An entry VM on the platform: starts its parts and ends them. */
import { openDatagrams, type Datagrams } from '@jujubelanding/fleet-load';
import type { CallerExchange } from '@jujubelanding/gateway';
import type { EntryPointAnswer } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { openRelayServer, type RelayServer } from '@jujubelanding/store-relay';
import type { BatchCalls } from './batch-calls.js';
import type { DeployedVmOptions } from './options.js';
import { createParts } from './parts.js';

/** Callers keep the addresses this long, and some three times as long. */
const ENTRY_POINT_LIFETIME_MS = 2000;

/** Addresses in one answer; callers use no more. */
const MAX_ENTRY_POINTS = 64;

export class DeployedVm {
  private readonly parts: ReturnType<typeof createParts>;

  private readonly log: Log;

  private datagrams: Datagrams | undefined;

  private relayServer: RelayServer | undefined;

  private isLeaving = false;

  constructor(private readonly options: DeployedVmOptions) {
    this.log = options.createLog('vm');
    this.parts = createParts(options, (message, addresses) => {
      this.datagrams?.send(message, addresses);
    });
  }

  get batchCalls(): BatchCalls {
    return this.parts.batchCalls;
  }

  async start(): Promise<void> {
    const { settings, createLog } = this.options;
    const { loads, lease, router, execution } = this.parts;
    const opened = await openDatagrams(settings.peerAddress, createLog('datagrams'), (message) => {
      loads.receive(message);
    });
    if (opened.isOk()) this.datagrams = opened.value;
    else this.log.write('datagrams-not-open', { message: opened.error.message });
    this.relayServer = openRelayServer(
      settings.peerAddress,
      this.options.store,
      () => this.parts.store.isDirect,
    );
    this.listFollowers().forEach((follower) => follower.start());
    lease.start();
    loads.start();
    router.start();
    execution.start();
    const { entryVmId: vm, availabilityZone: zone, storeAddress: store } = settings;
    this.log.write('start', { vm, zone, store });
  }

  handle(exchange: CallerExchange): Promise<void> {
    return this.parts.gateway.handle(exchange);
  }

  /** True while callers may be sent here. */
  isReady(): boolean {
    const { configuration, workers } = this.parts;
    return !this.isLeaving && configuration.table !== undefined && workers.all().length > 0;
  }

  chooseEntryPoints(): EntryPointAnswer | undefined {
    const self = this.options.settings.entryVmId;
    const usable = this.parts.registry
      .listServing()
      .filter(({ callerAddress }) => callerAddress !== '')
      .filter(({ entryVmId }) => entryVmId !== self || this.isReady());
    if (usable.length === 0) return undefined;
    const entryPoints = usable
      .slice(0, MAX_ENTRY_POINTS)
      .map(({ callerAddress, availabilityZone }) => ({ address: callerAddress, availabilityZone }));
    return { entryPoints, lifetimeMs: ENTRY_POINT_LIFETIME_MS };
  }

  /** Takes this VM out of the answers and hands its jobs over; requests go on being served. */
  async leave(): Promise<void> {
    const { registry, loads, execution, lease } = this.parts;
    this.isLeaving = true;
    registry.leave();
    loads.leave();
    await execution.stop();
    await lease.stop();
  }

  /** Ends everything. */
  async close(): Promise<void> {
    const { loads, router, lease, execution, registry } = this.parts;
    registry.leave();
    execution.close();
    lease.close();
    this.listFollowers().forEach((follower) => follower.stop());
    loads.stop();
    router.stop();
    this.datagrams?.close();
    this.relayServer?.close();
    await this.options.backends.close();
  }

  private listFollowers() {
    const { operatorFollower, workerFollower, jobFollower } = this.parts;
    return [operatorFollower, workerFollower, jobFollower];
  }
}
