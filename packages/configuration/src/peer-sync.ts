/** Exchange of records with other entry VMs. */
import { type Fault, FaultCode, Outcome } from '@jujubelanding/errors';
import type { EntryVmIo, Membership } from '@jujubelanding/interfaces';
import { type ConfigurationDelta, PeerMethod } from '@jujubelanding/peer-protocol';
import type { PeerAddress } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { ApplyStatus, type Replica } from './replica.js';
import { type QuorumSettings, hasQuorum, peersToAsk } from './startup-quorum.js';

const PUSH_FANOUT = 3;
/** A push usually arrives before gossip shows the revision; the pull waits for it. */
const PULL_DELAY_MS = 100;
/** VMs that miss more records than this pull them; a start would otherwise push all records around. */
const MAX_PUSHED_RECORDS = 200;
/** Asked first; their answers bring most records, so that the others need to send only newer ones. */
const QUORUM_FIRST_CALLS = 3;
const QUORUM_PARALLEL_CALLS = 16;

export interface PeerSyncOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network'>;
  membership: Membership;
  replica: Replica;
  /** True when this VM's answer may count in the start of another one. */
  canAnswer: () => boolean;
  /** Merges a delta and acts on the new records. */
  applyDelta: (delta: ConfigurationDelta) => ApplyStatus;
}

const NOT_READY_FAULT: Fault = {
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step: 'pull-configuration',
  message: 'the configuration of this VM is not known to be complete yet',
};

export class PeerSync {
  private isPulling = false;

  private isStopped = false;

  constructor(private readonly options: PeerSyncOptions) {}

  start(): void {
    const { io, replica, canAnswer, applyDelta: accept } = this.options;
    io.network.handle(PeerMethod.PullConfiguration, async ({ afterRevision }) =>
      canAnswer() ? ok(replica.deltaAfter(afterRevision)) : err(NOT_READY_FAULT),
    );
    io.network.handle(PeerMethod.PushConfiguration, async (delta) => {
      if (!this.isStopped) accept(delta);
      return ok({ heldRevision: replica.heldRevision() });
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Pushes new records to a few random members that are not known to hold them. */
  push(delta: ConfigurationDelta): void {
    const { io, membership } = this.options;
    if (delta.records.length > MAX_PUSHED_RECORDS) return;
    const self = membership.self().entryVmId;
    const behind = membership
      .members()
      .filter((member) => member.entryVmId !== self && member.heldRevision < delta.revision);
    io.random.sample(behind, PUSH_FANOUT).forEach((member) => {
      void this.pushTo(member, delta);
    });
  }

  /** Pulls from a member with a higher held revision, where gossip shows one. */
  async pullIfBehind(): Promise<void> {
    const { io, membership, replica } = this.options;
    // Before that, all records are read from the key-value service or from a majority.
    if (!this.options.canAnswer()) return;
    if (this.isPulling || this.findNewerMembers().length === 0) return;
    this.isPulling = true;
    await io.timer.sleep(PULL_DELAY_MS * (0.5 + io.random.next()));
    const newerMembers = this.findNewerMembers();
    if (newerMembers.length > 0 && !this.isStopped) {
      const source = membership.find(io.random.pick(newerMembers))!;
      const pulled = await io.network.call(source, PeerMethod.PullConfiguration, {
        afterRevision: replica.heldRevision(),
      });
      if (pulled.isOk() && !this.isStopped) this.options.applyDelta(pulled.value);
    }
    this.isPulling = false;
  }

  /** Asks all listed VMs once; true when a majority answered, after which the highest is held. */
  async readFromQuorum(settings: QuorumSettings): Promise<boolean> {
    const { io, replica } = this.options;
    const peers = io.random.sample(peersToAsk(settings), settings.listed.length);
    let answers = 0;
    const ask = async (voter: PeerAddress): Promise<void> => {
      const pulled = await io.network.call(voter, PeerMethod.PullConfiguration, {
        afterRevision: replica.heldRevision(),
      });
      if (pulled.isErr()) return;
      answers += 1;
      this.options.applyDelta(pulled.value);
    };
    while (peers.length > 0) {
      const calls = answers === 0 ? QUORUM_FIRST_CALLS : QUORUM_PARALLEL_CALLS;
      await Promise.all(peers.splice(0, calls).map(ask));
    }
    return hasQuorum(settings, answers);
  }

  private findNewerMembers(): string[] {
    const { membership, replica } = this.options;
    const held = replica.heldRevision();
    return membership
      .members()
      .filter(({ heldRevision }) => heldRevision > held)
      .map(({ entryVmId }) => entryVmId);
  }

  private async pushTo(peer: PeerAddress, delta: ConfigurationDelta): Promise<void> {
    const { io, replica } = this.options;
    const pushed = await io.network.call(peer, PeerMethod.PushConfiguration, delta);
    if (pushed.isErr() || pushed.value.heldRevision >= delta.revision || this.isStopped) return;
    // The peer misses records before the delta.
    await io.network.call(
      peer,
      PeerMethod.PushConfiguration,
      replica.deltaAfter(pushed.value.heldRevision),
    );
  }
}
