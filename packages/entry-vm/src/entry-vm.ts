/** Lifecycle of an entry VM: start and planned stop. */
import type { EntryVmIo, EntryVmSettings } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import { MemberState } from '@jujubelanding/types';
import { createApp, createComponents, type Components } from './components.js';

export type App = ReturnType<typeof createApp>;

export enum Phase {
  Created = 'created',
  Running = 'running',
  /** No longer listed in entry-point responses, but still serving callers that cached an earlier one. */
  Leaving = 'leaving',
  /** Rejects new requests as `not-run` and finishes those in progress. */
  Draining = 'draining',
  Stopped = 'stopped',
}

export interface EntryVm {
  readonly components: Components;
  readonly app: App;
  start(): void;
  /**
   * Stops after all requests in progress have ended. `closeConnections` must stop accepting connections
   * and resolve when those in progress have ended.
   */
  stop(closeConnections: () => Promise<void>): Promise<void>;
  /** True while requests are served. */
  isReady(): boolean;
  /** True while connections are accepted. */
  isListening(): boolean;
  phase(): Phase;
}

/** Phases in which requests are served. */
const SERVING_PHASES = new Set([Phase.Running, Phase.Leaving]);

const LISTENING_PHASES = new Set([Phase.Running, Phase.Leaving, Phase.Draining]);

const LOAD_PUBLISH_INTERVAL_MS = 1000;

/** Interval at which a leaving VM looks for a live one; long enough to learn of VMs that stop with it. */
const SUCCESSOR_CHECK_MS = 1000;

class DefaultEntryVm implements EntryVm {
  readonly components: Components;

  readonly app: App;

  private currentPhase = Phase.Created;

  private readonly log: Log;

  private loadSubscription: Subscription | undefined;

  constructor(
    private readonly settings: EntryVmSettings,
    private readonly io: EntryVmIo,
  ) {
    this.log = io.createLog('entry-vm');
    this.components = createComponents(settings, io);
    this.app = createApp(settings, io, this.components, () => this.isReady());
  }

  start(): void {
    this.listInStartOrder().forEach((component) => component.start());
    this.loadSubscription = this.io.timer.every(LOAD_PUBLISH_INTERVAL_MS, () => this.publishLoad());
    this.setPhase(Phase.Running);
  }

  async stop(closeConnections: () => Promise<void>): Promise<void> {
    if (this.currentPhase !== Phase.Running) return;
    this.setPhase(Phase.Leaving);
    this.components.membership.updateSelf({ state: MemberState.Leaving });
    // Batch streams are cancelled, and other VMs run their items again; only callers' requests are
    // drained.
    this.components.executor.stop();
    this.components.placement.stop();
    const released = this.releaseShards();
    await this.io.timer.sleep(this.settings.entryPointLifetimeMs);
    await released;
    this.setPhase(Phase.Draining);
    await closeConnections();
    await this.components.dispatcher.drain();
    this.setPhase(Phase.Stopped);
    this.loadSubscription?.cancel();
    this.listInStartOrder()
      .toReversed()
      .forEach((component) => {
        void component.stop();
      });
  }

  isReady(): boolean {
    return SERVING_PHASES.has(this.currentPhase) && this.components.configuration.isReady();
  }

  isListening(): boolean {
    return LISTENING_PHASES.has(this.currentPhase);
  }

  phase(): Phase {
    return this.currentPhase;
  }

  /** Returns the components in start order; while it starts, each uses only earlier ones. */
  private listInStartOrder(): { start(): void; stop(): unknown }[] {
    const { components } = this;
    return [
      components.directory,
      components.membership,
      components.shards,
      components.configuration,
      components.entryPoints,
      components.ownedWorkers,
      components.loads,
      components.router,
      components.limits,
      components.overload,
      components.claims,
      components.quarantine,
      components.dispatcher,
      components.segments,
      components.jobOwner,
      components.executor,
      components.placement,
    ];
  }

  /**
   * Revokes the lease, so that other VMs take over the shards while callers are still served. While no other
   * VM is live, the shards stay, because requests that need their owner would be refused.
   */
  private async releaseShards(): Promise<void> {
    const { timer } = this.io;
    const until = timer.now() + this.settings.entryPointLifetimeMs;
    do await timer.sleep(Math.min(SUCCESSOR_CHECK_MS, until - timer.now()));
    while (timer.now() < until && !this.hasLivePeer());
    await this.components.shards.stop();
  }

  private hasLivePeer(): boolean {
    const { membership } = this.components;
    const self = membership.self().entryVmId;
    return membership
      .members()
      .some(({ entryVmId, state }) => entryVmId !== self && state === MemberState.Alive);
  }

  private publishLoad(): void {
    const onlineLoad = this.components.dispatcher.inFlight();
    if (onlineLoad !== this.components.membership.self().onlineLoad) {
      this.components.membership.updateSelf({ onlineLoad });
    }
    this.io.metrics.gauge('online.in_flight', onlineLoad);
  }

  private setPhase(phase: Phase): void {
    this.currentPhase = phase;
    this.log.write('phase', { phase });
  }
}

/** Creates an entry VM from settings and I/O interfaces. */
export const createEntryVm = (settings: EntryVmSettings, io: EntryVmIo): EntryVm =>
  new DefaultEntryVm(settings, io);
