/** Exchanges records with other entry VMs. */
import { type Fault, FaultCode, Outcome } from '@jujubelanding/errors';
import type { EntryVmIo, Membership } from '@jujubelanding/interfaces';
import { type ConfigurationDelta, PeerMethod } from '@jujubelanding/peer-protocol';
import type { PeerAddress } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { ApplyStatus, type Replica } from './replica.js';
import { type QuorumSettings, hasQuorum, listOtherVms } from './startup-quorum.js';

const PUSH_FANOUT = 3;
/** Time that a pull waits for a push, which usually arrives before gossip shows the revision. */
const PULL_DELAY_MS = 100;
/**
 * Larger deltas are not pushed but pulled; otherwise every VM that starts would push all records.
 */
const MAX_PUSHED_RECORDS = 200;
/**
 * Peers queried in parallel until one has answered. The first answers contain most records, so that the
 * other peers only send newer ones.
 */
const QUORUM_FIRST_CALLS = 3;
const QUORUM_PARALLEL_CALLS = 16;

export interface PeerSyncOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network'>;
  membership: Membership;
  replica: Replica;
  /** True if this VM may answer pulls and so count towards the startup quorum of another VM. */
  canAnswer: () => boolean;
  /** Merges a delta into the replica and processes the new records. */
  applyDelta: (delta: ConfigurationDelta) => ApplyStatus;
}

const NOT_READY_FAULT: Fault = {
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step: 'pull-configuration',
  message: 'this VM does not know yet whether its configuration is complete',
};

export class PeerSync {
  private isPulling = false;

  private isStopped = false;

  constructor(private readonly options: PeerSyncOptions) {}

  start(): void {
    const { io, replica, canAnswer, applyDelta } = this.options;
    io.network.handle(PeerMethod.PullConfiguration, async ({ afterRevision }) =>
      canAnswer() ? ok(replica.deltaAfter(afterRevision)) : err(NOT_READY_FAULT),
    );
    io.network.handle(PeerMethod.PushConfiguration, async (delta) => {
      if (!this.isStopped) applyDelta(delta);
      return ok({ heldRevision: replica.heldRevision() });
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Pushes new records to a few random members that do not hold them according to gossip. */
  push(delta: ConfigurationDelta): void {
    const { io, membership } = this.options;
    if (delta.records.length > MAX_PUSHED_RECORDS) return;
    const self = membership.self().entryVmId;
    const outdatedMembers = membership
      .members()
      .filter((member) => member.entryVmId !== self && member.heldRevision < delta.revision);
    io.random.sample(outdatedMembers, PUSH_FANOUT).forEach((member) => {
      void this.pushTo(member, delta);
    });
  }

  /** Pulls from a random member with a higher held revision, if gossip shows one. */
  async pullIfBehind(): Promise<void> {
    const { io, membership, replica } = this.options;
    // Until this VM may answer, it reads all records from the key-value service or from a majority.
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

  /**
   * Asks all other listed VMs for their records once. Returns true if a quorum answered; this VM then
   * holds the highest revision of the answers.
   */
  async readFromQuorum(settings: QuorumSettings): Promise<boolean> {
    const { io, replica } = this.options;
    const peers = io.random.sample(listOtherVms(settings), settings.listed.length);
    let answers = 0;
    const ask = async (peer: PeerAddress): Promise<void> => {
      const pulled = await io.network.call(peer, PeerMethod.PullConfiguration, {
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
    // The peer lacks records before this delta, so send everything after its held revision.
    await io.network.call(
      peer,
      PeerMethod.PushConfiguration,
      replica.deltaAfter(pushed.value.heldRevision),
    );
  }
}
