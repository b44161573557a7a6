import type {
  Directory,
  EntryVmIo,
  EntryVmSettings,
  Membership,
  SelfUpdate,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { DatagramKind } from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import { type Member, MemberState } from '@jujubelanding/types';
import { computeFirstIncarnation } from './incarnation.js';
import { type OutgoingDatagram, Swim, type SwimDatagram } from './swim.js';

const TICK_MS = 100;

export interface MembershipOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network' | 'createLog' | 'metrics' | 'disk'>;
  settings: Pick<
    EntryVmSettings,
    'entryVmId' | 'availabilityZone' | 'peerAddress' | 'callerAddress'
  >;
  /** Lists the entry VMs that are probed as seeds. */
  directory: Pick<Directory, 'entryVms'>;
}

const createSelf = ({ io, settings }: MembershipOptions): Member => ({
  entryVmId: settings.entryVmId,
  bootId: io.random.createId(),
  incarnation: computeFirstIncarnation(io.timer.wallClock()),
  state: MemberState.Alive,
  peerAddress: settings.peerAddress,
  callerAddress: settings.callerAddress,
  availabilityZone: settings.availabilityZone,
  hasDisk: io.disk !== undefined,
  heldRevision: 0,
  activeRevision: 0,
  onlineLoad: 0,
  shards: [],
  openChunks: false,
});

/** Connects the failure detector to the timer and the network. */
export class MembershipController implements Membership {
  private readonly log: Log;

  private readonly swim: Swim;

  private readonly handlers = new Set<() => void>();

  private tickSubscription: Subscription | undefined;

  private isStopped = false;

  /** Cached list of members that are not dead; undefined after a change. */
  private cachedMembers: Member[] | undefined;

  constructor(private readonly options: MembershipOptions) {
    const { io } = options;
    this.log = io.createLog('membership');
    this.swim = new Swim(createSelf(options), io.random, io.timer.now());
  }

  start(): void {
    const { network, timer } = this.options.io;
    const receive = (datagram: SwimDatagram): void => this.receive(datagram);
    network.handleDatagram(DatagramKind.Probe, receive);
    network.handleDatagram(DatagramKind.ProbeReply, receive);
    network.handleDatagram(DatagramKind.ProbeRequest, receive);
    this.tickSubscription ??= timer.every(TICK_MS, () => this.tick());
    this.tick();
  }

  /** Announces the stop to other members, so that they need not detect it. */
  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.tickSubscription?.cancel();
    this.send(this.swim.leave(this.options.io.timer.now()));
  }

  self(): Member {
    return this.swim.table.self;
  }

  members(): Member[] {
    this.cachedMembers ??= [this.self(), ...this.swim.table.live()];
    return this.cachedMembers;
  }

  find(entryVmId: string): Member | undefined {
    const member = this.swim.table.find(entryVmId);
    return member?.state === MemberState.Dead ? undefined : member;
  }

  updateSelf(update: SelfUpdate): void {
    this.swim.table.updateSelf(update, this.options.io.timer.now());
    this.notify();
  }

  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  private tick(): void {
    this.send(this.swim.tick(this.options.directory.entryVms(), this.options.io.timer.now()));
    this.notify();
  }

  private receive(datagram: SwimDatagram): void {
    if (this.isStopped) return;
    this.send(this.swim.receive(datagram, this.options.io.timer.now()));
    this.notify();
  }

  private send(outgoing: readonly OutgoingDatagram[]): void {
    outgoing.forEach(({ address, datagram }) => this.options.io.network.send(address, datagram));
  }

  private notify(): void {
    const { isChanged, states } = this.swim.table.takeChanges();
    if (!isChanged) return;
    this.cachedMembers = undefined;
    states.forEach(({ entryVmId, from, to }) => {
      this.log.write('member-state', { entryVmId, from, to });
      this.options.io.metrics.increment('membership.state_changes', { to });
    });
    this.handlers.forEach((handler) => handler());
  }
}
