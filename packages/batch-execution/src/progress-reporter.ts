/** Executor's side of progress notices: one per owner VM, by call where datagrams are not answered. */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import {
  DatagramKind,
  ProgressVerdict,
  type GrantStop,
  type ListedGrant,
  type ProgressAnswer,
} from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import type { ChunkSet } from './chunk-set.js';
import type { ActiveChunk } from './active-chunk.js';
import type { OwnerAddress, JobOwnerClient } from './owner-calls.js';

const TICK_MS = 50;
/** With two attempts and a call this leaves 1 s of the contact time of 1.5 s for one lost round. */
const REPORT_INTERVAL_MS = 1000;
/** Above the round trip between availability zones, below a third of the contact time. */
const RESEND_DELAY_MS = 150;
const DATAGRAM_ATTEMPTS = 2;
/** An owner that has not loaded a shard yet is asked again sooner. */
const UNREADY_RETRY_MS = 250;
/** In process, so that the rate costs little. */
const LOCAL_REPORT_INTERVAL_MS = 500;
/** Keeps a notice with its header below the datagram limit of 1,200 bytes. */
export const MAX_LISTED_GRANTS = 16;
/** Rounds whose late answers still count. */
const MAX_UNANSWERED_NOTICES = 6;
/** Longer than an outage of an owner; the chunk is then run again from its input. */
const CONTACT_LOSS_TIMEOUT_MS = 10 * 60 * 1000;

interface SentNotice {
  at: number;
  chunks: ActiveChunk[];
}

/** What was exchanged with one owner VM. */
interface OwnerReportState {
  /** Sequence of the notice that introduced the current list. */
  list: number;
  listed: ActiveChunk[];
  /** True once the owner has answered for the list. */
  isListKnown: boolean;
  roundAt: number;
  nextAt: number;
  attempts: number;
  /** True while the owner answers calls but no datagrams, such as one of an earlier version. */
  usesCalls: boolean;
  sent: Map<number, SentNotice>;
}

export interface ProgressReporterOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network'>;
  ownerClient: JobOwnerClient;
  executorId: string;
  chunks: ChunkSet;
}

const describeGrant = ({ grant }: ActiveChunk): ListedGrant => [
  grant.shard,
  grant.jobId,
  grant.chunk,
  grant.grantId,
];

export class ProgressReporter {
  private readonly ownerStates = new Map<string, OwnerReportState>();

  /** Random start, so that late answers to an earlier run of this VM match nothing. */
  private sequence: number;

  constructor(private readonly options: ProgressReporterOptions) {
    this.sequence = options.io.random.below(2 ** 31);
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
      const exchange = this.ownerStates.get(ownerId) ?? this.open(ownerId, now);
      if (exchange.nextAt <= now) this.sendReport(exchange, owner, chunks, now);
    });
    this.options.chunks.list().forEach((chunk) => {
      if (now - chunk.lastContactAt > CONTACT_LOSS_TIMEOUT_MS)
        this.options.chunks.stop(chunk, 'no contact');
    });
  }

  private open(ownerId: string, now: number): OwnerReportState {
    const exchange: OwnerReportState = {
      list: 0,
      listed: [],
      isListKnown: false,
      roundAt: now,
      nextAt: now,
      attempts: 0,
      usesCalls: false,
      sent: new Map(),
    };
    this.ownerStates.set(ownerId, exchange);
    return exchange;
  }

  private sendReport(
    exchange: OwnerReportState,
    owner: OwnerAddress,
    chunks: ActiveChunk[],
    now: number,
  ): void {
    if (owner.isSelf) {
      exchange.nextAt = now + LOCAL_REPORT_INTERVAL_MS;
      void this.reportByCall(chunks);
      return;
    }
    if (exchange.attempts === 0) exchange.roundAt = now;
    const usesCalls = exchange.usesCalls || exchange.attempts === DATAGRAM_ATTEMPTS;
    if (exchange.attempts < DATAGRAM_ATTEMPTS) this.sendNotice(exchange, owner, chunks, now);
    exchange.attempts = usesCalls ? 0 : exchange.attempts + 1;
    exchange.nextAt = usesCalls ? exchange.roundAt + REPORT_INTERVAL_MS : now + RESEND_DELAY_MS;
    if (usesCalls) void this.fallBackToCalls(exchange, chunks);
    else if (exchange.attempts === 1) void this.reportByCall(chunks.slice(MAX_LISTED_GRANTS));
  }

  private sendNotice(
    exchange: OwnerReportState,
    owner: OwnerAddress,
    all: ActiveChunk[],
    now: number,
  ): void {
    const { executorId, io } = this.options;
    const chunks = all.slice(0, MAX_LISTED_GRANTS);
    this.sequence += 1;
    const { sequence } = this;
    const { listed } = exchange;
    const isSame =
      listed.length === chunks.length && listed.every((chunk, index) => chunk === chunks[index]);
    if (!isSame) Object.assign(exchange, { list: sequence, listed: chunks, isListKnown: false });
    exchange.sent.set(sequence, { at: now, chunks });
    if (exchange.sent.size > MAX_UNANSWERED_NOTICES) {
      exchange.sent.delete(exchange.sent.keys().next().value!);
    }
    io.network.send(owner.peerAddress, {
      kind: DatagramKind.ProgressNotice,
      from: executorId,
      sequence,
      list: exchange.list,
      ...(exchange.isListKnown ? {} : { grants: chunks.map(describeGrant) }),
    });
  }

  private handleAnswer({ from, sequence, isListMissing, stopped, unjudged }: ProgressAnswer): void {
    const exchange = this.ownerStates.get(from);
    const sent = exchange?.sent.get(sequence);
    if (exchange === undefined || sent === undefined) return;
    const now = this.options.io.timer.now();
    exchange.sent.delete(sequence);
    exchange.usesCalls = false;
    const isCurrent = sent.chunks === exchange.listed;
    exchange.attempts = 0;
    if (isListMissing === true) {
      if (isCurrent) exchange.isListKnown = false;
      exchange.nextAt = now;
      return;
    }
    if (isCurrent) exchange.isListKnown = true;
    exchange.nextAt =
      unjudged === undefined ? sent.at + REPORT_INTERVAL_MS : now + UNREADY_RETRY_MS;
    sent.chunks.forEach((chunk, position) => {
      if (stopped?.includes(position) === true) this.options.chunks.stop(chunk, 'told by owner');
      else if (unjudged?.includes(position) !== true) chunk.confirmContact(sent.at);
    });
  }

  private handleGrantStop({ grantIds }: GrantStop): void {
    grantIds.forEach((grantId) => this.options.chunks.stopGrant(grantId, 'told by owner'));
  }

  /** Datagrams are still sent along, so that the first answer to one ends the calls. */
  private async fallBackToCalls(
    exchange: OwnerReportState,
    chunks: readonly ActiveChunk[],
  ): Promise<void> {
    if (await this.reportByCall(chunks)) exchange.usesCalls = true;
  }

  /** Reports by one call per shard; true when all were answered. */
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
    const { ownerClient: calls, executorId, io } = this.options;
    const sentAt = io.timer.now();
    const grants = chunks.map(({ grant: { jobId, chunk, grantId } }) => ({
      jobId,
      chunk,
      grantId,
    }));
    const reply = await calls.reportProgress({ shard, executorId, grants });
    if (reply.isErr()) return false;
    chunks.forEach((chunk, index) => {
      const verdict = reply.value.verdicts[index];
      if (verdict === ProgressVerdict.Stop) this.options.chunks.stop(chunk, 'told by owner');
      else chunk.confirmContact(sentAt);
    });
    return true;
  }
}
