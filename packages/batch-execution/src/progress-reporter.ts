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
import type { ChunkWork } from './chunk-work.js';
import type { ChunkOwner, OwnerCalls } from './owner-calls.js';

const TICK_MS = 50;
/** With two attempts and a call this leaves 1 s of the contact time of 1.5 s for one lost round. */
const ROUND_MS = 1000;
/** Above the round trip between availability zones, below a third of the contact time. */
const REPEAT_MS = 150;
const DATAGRAM_ATTEMPTS = 2;
/** An owner that has not loaded a shard yet is asked again sooner. */
const UNREADY_MS = 250;
/** In process, so that the rate costs little. */
const OWN_ROUND_MS = 500;
/** Keeps a notice with its header below the datagram limit of 1,200 bytes. */
export const MAX_LISTED_GRANTS = 16;
/** Rounds whose late answers still count. */
const MAX_UNANSWERED = 6;
/** Longer than an outage of an owner; the chunk is then run again from its input. */
const ABANDON_MS = 10 * 60 * 1000;

interface Sent {
  at: number;
  chunks: ChunkWork[];
}

/** What was exchanged with one owner VM. */
interface Exchange {
  /** Sequence of the notice that introduced the current list. */
  list: number;
  listed: ChunkWork[];
  /** True once the owner has answered for the list. */
  isListKnown: boolean;
  roundAt: number;
  nextAt: number;
  attempts: number;
  /** True while the owner answers calls but no datagrams, such as one of an earlier version. */
  usesCalls: boolean;
  sent: Map<number, Sent>;
}

export interface ProgressReporterOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network'>;
  calls: OwnerCalls;
  executorId: string;
  chunks: ChunkSet;
}

const describeGrant = ({ grant }: ChunkWork): ListedGrant => [
  grant.shard,
  grant.jobId,
  grant.chunk,
  grant.grantId,
];

export class ProgressReporter {
  private readonly exchanges = new Map<string, Exchange>();

  /** Random start, so that late answers to an earlier run of this VM match nothing. */
  private sequence: number;

  constructor(private readonly options: ProgressReporterOptions) {
    this.sequence = options.io.random.below(2 ** 31);
  }

  start(): Subscription {
    const { network, timer } = this.options.io;
    network.handleDatagram(DatagramKind.ProgressAnswer, (answer) => this.receive(answer));
    network.handleDatagram(DatagramKind.GrantStop, (stop) => this.stop(stop));
    return timer.every(TICK_MS, () => this.tick());
  }

  private tick(): void {
    const now = this.options.io.timer.now();
    const groups = this.options.calls.groupByOwner(this.options.chunks.list());
    this.exchanges.forEach((_, ownerId) => {
      if (!groups.has(ownerId)) this.exchanges.delete(ownerId);
    });
    groups.forEach(({ owner, chunks }, ownerId) => {
      const exchange = this.exchanges.get(ownerId) ?? this.open(ownerId, now);
      if (exchange.nextAt <= now) this.report(exchange, owner, chunks, now);
    });
    this.options.chunks.list().forEach((chunk) => {
      if (now - chunk.lastContactAt > ABANDON_MS) this.options.chunks.stop(chunk, 'no contact');
    });
  }

  private open(ownerId: string, now: number): Exchange {
    const exchange: Exchange = {
      list: 0,
      listed: [],
      isListKnown: false,
      roundAt: now,
      nextAt: now,
      attempts: 0,
      usesCalls: false,
      sent: new Map(),
    };
    this.exchanges.set(ownerId, exchange);
    return exchange;
  }

  private report(exchange: Exchange, owner: ChunkOwner, chunks: ChunkWork[], now: number): void {
    if (owner.isSelf) {
      exchange.nextAt = now + OWN_ROUND_MS;
      void this.call(chunks);
      return;
    }
    if (exchange.attempts === 0) exchange.roundAt = now;
    const usesCalls = exchange.usesCalls || exchange.attempts === DATAGRAM_ATTEMPTS;
    if (exchange.attempts < DATAGRAM_ATTEMPTS) this.send(exchange, owner, chunks, now);
    exchange.attempts = usesCalls ? 0 : exchange.attempts + 1;
    exchange.nextAt = usesCalls ? exchange.roundAt + ROUND_MS : now + REPEAT_MS;
    if (usesCalls) void this.fallBack(exchange, chunks);
    else if (exchange.attempts === 1) void this.call(chunks.slice(MAX_LISTED_GRANTS));
  }

  private send(exchange: Exchange, owner: ChunkOwner, all: ChunkWork[], now: number): void {
    const { executorId, io } = this.options;
    const chunks = all.slice(0, MAX_LISTED_GRANTS);
    this.sequence += 1;
    const { sequence } = this;
    const { listed } = exchange;
    const isSame =
      listed.length === chunks.length && listed.every((chunk, index) => chunk === chunks[index]);
    if (!isSame) Object.assign(exchange, { list: sequence, listed: chunks, isListKnown: false });
    exchange.sent.set(sequence, { at: now, chunks });
    if (exchange.sent.size > MAX_UNANSWERED) {
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

  private receive({ from, sequence, isListMissing, stopped, unjudged }: ProgressAnswer): void {
    const exchange = this.exchanges.get(from);
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
    exchange.nextAt = unjudged === undefined ? sent.at + ROUND_MS : now + UNREADY_MS;
    sent.chunks.forEach((chunk, position) => {
      if (stopped?.includes(position) === true) this.options.chunks.stop(chunk, 'told by owner');
      else if (unjudged?.includes(position) !== true) chunk.confirmContact(sent.at);
    });
  }

  private stop({ grantIds }: GrantStop): void {
    grantIds.forEach((grantId) => this.options.chunks.stopGrant(grantId, 'told by owner'));
  }

  /** Datagrams are still sent along, so that the first answer to one ends the calls. */
  private async fallBack(exchange: Exchange, chunks: readonly ChunkWork[]): Promise<void> {
    if (await this.call(chunks)) exchange.usesCalls = true;
  }

  /** Reports by one call per shard; true when all were answered. */
  private async call(chunks: readonly ChunkWork[]): Promise<boolean> {
    const byShard = new Map<number, ChunkWork[]>();
    chunks.forEach((chunk) => {
      const { shard } = chunk.grant;
      byShard.set(shard, [...(byShard.get(shard) ?? []), chunk]);
    });
    const answers = await Promise.all(
      [...byShard].map(([shard, listed]) => this.callShard(shard, listed)),
    );
    return answers.every(Boolean);
  }

  private async callShard(shard: number, chunks: readonly ChunkWork[]): Promise<boolean> {
    const { calls, executorId, io } = this.options;
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
