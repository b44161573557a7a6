/** Keeps the shared values of this VM and its peers the same. */
import type { EntryVmIo, Membership } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import {
  PeerMethod,
  type SharedValue,
  type ValueExchange,
  type ValueExchangeReply,
} from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import { MemberState, type Member } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import { SharedValues } from './shared-values.js';

/** Number of peers to which a change is handed; with five, one of 150 VMs learns of it later. */
const FANOUT = 5;

/** Changes within this time are handed on together. */
const SPREAD_DELAY_MS = 50;

/** Minimum time between two rounds in which changes are handed on; bounds the calls of a VM. */
const MIN_SPREAD_INTERVAL_MS = 250;

/** Interval at which a VM that has values compares them with those of one peer. */
const COMPARISON_INTERVAL_MS = 1000;

export interface ValueExchangerOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network'>;
  log: Log;
  membership: Pick<Membership, 'self' | 'members'>;
  /** Called with values of other VMs that this VM has taken over. */
  onValues: (values: readonly SharedValue[]) => void;
  /** Called with the keys of values that have expired. */
  onExpired: (keys: readonly string[]) => void;
}

export class ValueExchanger {
  private readonly values: SharedValues;

  private comparison: Subscription | undefined;

  private spread: Subscription | undefined;

  private lastSpreadAt = -Infinity;

  /** True once a peer has answered, so that this VM has the values from before its start. */
  private hasJoined = false;

  constructor(private readonly options: ValueExchangerOptions) {
    const { entryVmId, bootId } = options.membership.self();
    this.values = new SharedValues(`${entryVmId}.${bootId}`);
  }

  start(): void {
    const { network, timer } = this.options.io;
    network.handle(PeerMethod.ExchangeValues, async (input) => ok(this.answer(input)));
    this.comparison ??= timer.every(COMPARISON_INTERVAL_MS, () => this.compare());
  }

  stop(): void {
    this.comparison?.cancel();
    this.spread?.cancel();
  }

  /** Writes a value that all VMs get; returns its version. */
  set(key: string, value: string, lifetimeMs: number): number {
    const version = this.values.set(key, value, lifetimeMs, this.options.io.timer.now());
    this.scheduleSpread();
    return version;
  }

  /** Returns the version of a value; 0 if there is none. */
  readVersion(key: string): number {
    return this.values.readVersion(key);
  }

  private compare(): void {
    const expired = this.values.expire(this.options.io.timer.now());
    if (expired.length > 0) this.options.onExpired(expired);
    if (!this.hasJoined || !this.values.isEmpty) this.exchangeWith(1);
  }

  private scheduleSpread(): void {
    if (this.spread !== undefined) return;
    const { timer } = this.options.io;
    const earliest = this.lastSpreadAt + MIN_SPREAD_INTERVAL_MS;
    this.spread = timer.after(Math.max(SPREAD_DELAY_MS, earliest - timer.now()), () => {
      this.spread = undefined;
      this.lastSpreadAt = timer.now();
      this.exchangeWith(FANOUT);
    });
  }

  private exchangeWith(count: number): void {
    const { io, membership } = this.options;
    const self = membership.self().entryVmId;
    const peers = membership
      .members()
      .filter(({ entryVmId, state }) => entryVmId !== self && state !== MemberState.Suspect);
    io.random.sample(peers, count).forEach((peer) => {
      void this.exchange(peer);
    });
  }

  private async exchange(peer: Member): Promise<void> {
    const { network } = this.options.io;
    const versions = this.values.listVersions();
    const reply = await network.call(peer, PeerMethod.ExchangeValues, { versions, values: [] });
    if (reply.isErr()) {
      const { code, outcome } = reply.error;
      this.options.log.write('values-not-exchanged', { peer: peer.entryVmId, code, outcome });
      return;
    }
    this.hasJoined = true;
    this.accept(reply.value.values);
    const values = this.values.read(reply.value.missing, this.options.io.timer.now());
    if (values.length > 0) await network.call(peer, PeerMethod.ExchangeValues, { values });
  }

  private answer({ versions, values }: ValueExchange): ValueExchangeReply {
    this.accept(values);
    if (versions === undefined) return { values: [], missing: [] };
    const now = this.options.io.timer.now();
    return {
      values: this.values.selectNewer(versions, now),
      missing: this.values.listMissing(versions),
    };
  }

  private accept(received: readonly SharedValue[]): void {
    const merged = this.values.merge(received, this.options.io.timer.now());
    if (merged.length === 0) return;
    this.options.onValues(merged);
    this.scheduleSpread();
  }
}
