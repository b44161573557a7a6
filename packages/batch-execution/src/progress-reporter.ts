/** Reports progress to job owners: one datagram per owner VM, with calls when datagrams get no answer. */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import {
  DatagramKind,
  ProgressDecision,
  type GrantStop,
  type ListedGrant,
  type ProgressAnswer,
} from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import type { ChunkSet } from './chunk-set.js';
import type { ActiveChunk } from './active-chunk.js';
import type { OwnerAddress, JobOwnerClient } from './job-owner-client.js';

const TICK_MS = 50;
/**
 * With 1 s between rounds, both datagrams and the call of a round are sent before the contact timeout
 * of 1.5 s ends, so a round may lose the two datagrams.
 */
const REPORT_INTERVAL_MS = 1000;
/** Above the round trip between availability zones, below a third of the contact timeout. */
const RESEND_DELAY_MS = 150;
const DATAGRAM_ATTEMPTS = 2;
/** Shorter retry interval for an owner that has not loaded a shard yet. */
const UNREADY_RETRY_DELAY_MS = 250;
/** Shorter, because reports within this process are cheap. */
const LOCAL_REPORT_INTERVAL_MS = 500;
/** Keeps a notice including its header below the datagram limit of 1,200 bytes. */
export const MAX_LISTED_GRANTS = 16;
/** Number of unanswered notices for which a late answer is still accepted. */
const MAX_UNANSWERED_NOTICES = 6;
/**
 * Time without contact after which a chunk is stopped here, to run again from its input; longer than
 * an outage of an owner.
 */
const NO_CONTACT_MS = 10 * 60 * 1000;

interface SentNotice {
  at: number;
  chunks: ActiveChunk[];
}

/** State of the reports to one owner VM. */
interface OwnerReportState {
  /** Sequence number of the notice that introduced the current list. */
  list: number;
  listed: ActiveChunk[];
  /** True once the owner has answered a notice with the current list. */
  isListKnown: boolean;
  roundStartedAt: number;
  nextAt: number;
  attempts: number;
  /** True while the owner answers calls but no datagrams, as owners of an earlier version do. */
  usesCalls: boolean;
  sent: Map<number, SentNotice>;
}

export interface ProgressReporterOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network'>;
  ownerClient: JobOwnerClient;
  executorId: string;
  chunks: ChunkSet;
}

const toListedGrant = ({ grant }: ActiveChunk): ListedGrant => [
  grant.shard,
  grant.jobId,
  grant.chunk,
  grant.grantId,
];

export class ProgressReporter {
  private readonly ownerStates = new Map<string, OwnerReportState>();

  /** Starts at a random number, so that late answers to an earlier process of this VM match no notice. */
  private sequence: number;

  constructor(private readonly options: ProgressReporterOptions) {
    this.sequence = options.io.random.nextInt(2 ** 31);
  }

  start(): Subscription {
    const { network, timer } = this.options.io;
    network.handleDatagram(DatagramKind.ProgressAnswer, (answer) => this.handleAnswer(answer));
    network.handleDatagram(DatagramKind.GrantStop, (stop) => this.handleGrantStop(stop));
    return timer.every(TICK_MS, () => this.tick());
  }

  private tick(): void {
    const now = this.options.io.timer.now();
    const groups = this.options.ownerClient.groupByOwner(this.options.chunks.list());
    this.ownerStates.forEach((_, ownerId) => {
      if (!groups.has(ownerId)) this.ownerStates.delete(ownerId);
    });
    groups.forEach(({ owner, chunks }, ownerId) => {
      const state = this.ownerStates.get(ownerId) ?? this.open(ownerId, now);
      if (state.nextAt <= now) this.sendReport(state, owner, chunks, now);
    });
    this.options.chunks.list().forEach((chunk) => {
      if (now - chunk.lastContactAt > NO_CONTACT_MS) this.options.chunks.stop(chunk, 'no contact');
    });
  }

  private open(ownerId: string, now: number): OwnerReportState {
    const state: OwnerReportState = {
      list: 0,
      listed: [],
      isListKnown: false,
      roundStartedAt: now,
      nextAt: now,
      attempts: 0,
      usesCalls: false,
      sent: new Map(),
    };
    this.ownerStates.set(ownerId, state);
    return state;
  }

  private sendReport(
    state: OwnerReportState,
    owner: OwnerAddress,
    chunks: ActiveChunk[],
    now: number,
  ): void {
    if (owner.isSelf) {
      state.nextAt = now + LOCAL_REPORT_INTERVAL_MS;
      void this.reportByCall(chunks);
      return;
    }
    if (state.attempts === 0) state.roundStartedAt = now;
    const usesCalls = state.usesCalls || state.attempts === DATAGRAM_ATTEMPTS;
    if (state.attempts < DATAGRAM_ATTEMPTS) this.sendNotice(state, owner, chunks, now);
    state.attempts = usesCalls ? 0 : state.attempts + 1;
    state.nextAt = usesCalls ? state.roundStartedAt + REPORT_INTERVAL_MS : now + RESEND_DELAY_MS;
    if (usesCalls) void this.fallBackToCalls(state, chunks);
    else if (state.attempts === 1) void this.reportByCall(chunks.slice(MAX_LISTED_GRANTS));
  }

  private sendNotice(
    state: OwnerReportState,
    owner: OwnerAddress,
    all: ActiveChunk[],
    now: number,
  ): void {
    const { executorId, io } = this.options;
    const chunks = all.slice(0, MAX_LISTED_GRANTS);
    this.sequence += 1;
    const { sequence } = this;
    const { listed } = state;
    const isSame =
      listed.length === chunks.length && listed.every((chunk, index) => chunk === chunks[index]);
    if (!isSame) Object.assign(state, { list: sequence, listed: chunks, isListKnown: false });
    state.sent.set(sequence, { at: now, chunks });
    if (state.sent.size > MAX_UNANSWERED_NOTICES) {
      state.sent.delete(state.sent.keys().next().value!);
    }
    io.network.send(owner.peerAddress, {
      kind: DatagramKind.ProgressNotice,
      from: executorId,
      sequence,
      list: state.list,
      ...(state.isListKnown ? {} : { grants: chunks.map(toListedGrant) }),
    });
  }

  private handleAnswer({ from, sequence, isListMissing, stopped, unjudged }: ProgressAnswer): void {
    const state = this.ownerStates.get(from);
    const sent = state?.sent.get(sequence);
    if (state === undefined || sent === undefined) return;
    const now = this.options.io.timer.now();
    state.sent.delete(sequence);
    state.usesCalls = false;
    const isCurrent = sent.chunks === state.listed;
    state.attempts = 0;
    if (isListMissing === true) {
      if (isCurrent) state.isListKnown = false;
      state.nextAt = now;
      return;
    }
    if (isCurrent) state.isListKnown = true;
    state.nextAt =
      unjudged === undefined ? sent.at + REPORT_INTERVAL_MS : now + UNREADY_RETRY_DELAY_MS;
    sent.chunks.forEach((chunk, position) => {
      if (stopped?.includes(position) === true) this.options.chunks.stop(chunk, 'stopped by owner');
      else if (unjudged?.includes(position) !== true) chunk.confirmContact(sent.at);
    });
  }

  private handleGrantStop({ grantIds }: GrantStop): void {
    grantIds.forEach((grantId) => this.options.chunks.stopGrant(grantId, 'stopped by owner'));
  }

  /** Switches to calls when they are answered. Datagrams continue; the first answer to one ends the calls. */
  private async fallBackToCalls(
    state: OwnerReportState,
    chunks: readonly ActiveChunk[],
  ): Promise<void> {
    if (await this.reportByCall(chunks)) state.usesCalls = true;
  }

  /** Reports by one call per shard; returns true when all were answered. */
  private async reportByCall(chunks: readonly ActiveChunk[]): Promise<boolean> {
    const byShard = new Map<number, ActiveChunk[]>();
    chunks.forEach((chunk) => {
      const { shard } = chunk.grant;
      byShard.set(shard, [...(byShard.get(shard) ?? []), chunk]);
    });
    const answers = await Promise.all(
      [...byShard].map(([shard, listed]) => this.reportShardByCall(shard, listed)),
    );
    return answers.every(Boolean);
  }

  private async reportShardByCall(shard: number, chunks: readonly ActiveChunk[]): Promise<boolean> {
    const { ownerClient, executorId, io } = this.options;
    const sentAt = io.timer.now();
    const grants = chunks.map(({ grant: { jobId, chunk, grantId } }) => ({
      jobId,
      chunk,
      grantId,
    }));
    const reply = await ownerClient.reportProgress({ shard, executorId, grants });
    if (reply.isErr()) return false;
    chunks.forEach((chunk, index) => {
      const decision = reply.value.verdicts[index];
      if (decision === ProgressDecision.Stop) this.options.chunks.stop(chunk, 'stopped by owner');
      else chunk.confirmContact(sentAt);
    });
    return true;
  }
}
