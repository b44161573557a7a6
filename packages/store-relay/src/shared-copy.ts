import type { Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { KeyValueList, TransactionalStore, WatchResult } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';

/** Time for which the store is read directly after the host of a copy failed. */
const DIRECT_PERIOD_MS = 3000;

/** Wait of a watch whose answer is needed at once. */
const MIN_WAIT_MS = 1;

/** Reads and watches a prefix of the store. */
export type PrefixReader = Pick<TransactionalStore, 'list' | 'watch'>;

export interface SharedCopyOptions {
  timer: Timer;
  log: Log;
  direct: PrefixReader;
  /**
   * Returns a reader of the copy of another VM.
   * `mustBeDirect`: the other VM answers only if it follows the store itself.
   */
  readCopyOf: (peerAddress: string, mustBeDirect: boolean) => PrefixReader;
  /** Address of the VM of this zone whose copy is read; undefined if this VM is the hub of its zone. */
  findHost: () => string | undefined;
  /** Maximum age of a copy. Limits how late this VM learns of a change if its host is cut off. */
  maxAgeMs: number;
  /** Maximum time that a watch of a copy waits, so that its age is known at least as often. */
  maxWaitMs: number;
  /** The copy that the hubs of the zones read; without it they read the store. */
  root?: RootCopyOptions | undefined;
}

export interface RootCopyOptions {
  /** Address of the VM whose copy the hubs read; undefined if it is this VM. */
  findAddress: () => string | undefined;
  /** Lower than the maximum age for the other VMs, so that the hubs fall back to the store before these. */
  maxAgeMs: number;
}

/** The VM whose copy is read. */
interface Host {
  address: string;
  isRoot: boolean;
  maxAgeMs: number;
}

type Send<T> = (reader: PrefixReader, maxWaitMs: number) => Reply<T>;

/**
 * Follows the store through the copy of another VM, so that the calls to the store do not grow with the
 * fleet. Falls back to the store when the other VM does not answer or its copy is too old.
 */
export class SharedCopy implements PrefixReader {
  private directUntil = -Infinity;

  /** Address of the VM whose copy was read last; undefined if it was the store. */
  private lastAddress: string | undefined;

  /** Time at which the store confirmed the last answer for each prefix, as far as its age tells. */
  private readonly confirmedAt = new Map<string, number>();

  constructor(private readonly options: SharedCopyOptions) {}

  /** True if this VM follows the store itself. */
  get isDirect(): boolean {
    return this.findSource() === undefined;
  }

  /** True if the other VMs of the zone may read the copy of this VM. */
  get isHub(): boolean {
    return this.isInDirectPeriod || this.options.findHost() === undefined;
  }

  readonly list: PrefixReader['list'] = (prefix, limit, afterKey) =>
    this.read<KeyValueList>(prefix, (reader) => reader.list(prefix, limit, afterKey));

  readonly watch: PrefixReader['watch'] = (prefix, afterRevision, waitMs) =>
    this.read<WatchResult>(prefix, (reader, maxWaitMs) =>
      reader.watch(prefix, afterRevision, Math.min(waitMs, maxWaitMs)),
    );

  private get isInDirectPeriod(): boolean {
    return this.options.timer.now() < this.directUntil;
  }

  private findSource(): Host | undefined {
    const { findHost, maxAgeMs, root } = this.options;
    if (this.isInDirectPeriod) return undefined;
    const zoneHub = findHost();
    if (zoneHub !== undefined) return { address: zoneHub, isRoot: false, maxAgeMs };
    const address = root?.findAddress();
    if (root === undefined || address === undefined) return undefined;
    return { address, isRoot: true, maxAgeMs: root.maxAgeMs };
  }

  private async read<T extends KeyValueList | WatchResult>(
    prefix: string,
    send: Send<T>,
  ): Reply<T> {
    const { timer, readCopyOf, log } = this.options;
    const host = this.findSource();
    this.logSource(host);
    if (host === undefined) return this.readStore(prefix, send);
    const { address, isRoot, maxAgeMs } = host;
    const waitMs = Math.min(this.options.maxWaitMs, this.computeMaxWait(prefix, maxAgeMs));
    const reply = await send(readCopyOf(address, isRoot), waitMs);
    const ageMs = reply.isOk() ? (reply.value.source?.ageMs ?? 0) : undefined;
    if (ageMs !== undefined && ageMs <= maxAgeMs) {
      this.confirmedAt.set(prefix, timer.now() - ageMs);
      return reply;
    }
    log.write('copy-not-used', {
      prefix,
      host: address,
      isRoot,
      ageMs: ageMs === undefined ? undefined : Math.round(ageMs),
      maxAgeMs,
      code: reply.isErr() ? reply.error.code : undefined,
    });
    this.directUntil = timer.now() + DIRECT_PERIOD_MS;
    return this.readStore(prefix, send);
  }

  private logSource(host: Host | undefined): void {
    if (host?.address === this.lastAddress) return;
    this.lastAddress = host?.address;
    const isFallback = this.isInDirectPeriod;
    this.options.log.write('copy-source', {
      host: host?.address,
      isRoot: host?.isRoot,
      isFallback,
    });
  }

  /** A watch ends before the copy of this VM is too old, for this VM and for those that read it. */
  private computeMaxWait(prefix: string, maxAgeMs: number): number {
    const now = this.options.timer.now();
    const ageMs = now - (this.confirmedAt.get(prefix) ?? now);
    return Math.max(MIN_WAIT_MS, maxAgeMs - ageMs);
  }

  private async readStore<T>(prefix: string, send: Send<T>): Reply<T> {
    const { direct, maxAgeMs, root } = this.options;
    const reply = await send(direct, this.computeMaxWait(prefix, root?.maxAgeMs ?? maxAgeMs));
    if (reply.isOk()) this.confirmedAt.set(prefix, this.options.timer.now());
    return reply;
  }
}
