/**
 * Asks job owners for chunks while slots are idle: those that say that they have open chunks, and
 * the others now and then, in case their member entry is out of date.
 */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { ChunkGrant } from '@jujubelanding/peer-protocol';
import type { JobOwnerClient } from './owner-calls.js';

const FIRST_BACK_OFF_MS = 50;
const MAX_BACK_OFF_MS = 1000;
/** Gossip repairs a lost change of an entry within seconds, so that this is rarely needed. */
const NO_OPEN_CHUNKS_BACK_OFF_MS = 30_000;
/** An owner that does not answer within this time must not keep slots idle. */
const SLOW_REQUEST_THRESHOLD_MS = 100;
/** With more owners than this, each is asked less often, so that the rate of requests is bounded. */
const OWNERS_AT_FULL_RATE = 8;

interface OwnerState {
  backOffMs: number;
  nextAt: number;
  requestedAt: number;
  /** Slots named in the request in progress; 0 when there is none. */
  requestedSlots: number;
  /** What the owner last said of its chunks. */
  hasOpenChunks: boolean | undefined;
}

const INITIAL_OWNER_STATE: OwnerState = {
  backOffMs: 0,
  nextAt: 0,
  requestedAt: 0,
  requestedSlots: 0,
  hasOpenChunks: undefined,
};

export interface ChunkPollerOptions {
  io: Pick<EntryVmIo, 'timer' | 'random'>;
  ownerClient: JobOwnerClient;
  executorId: string;
  /** Idle slots without an item, by what their workers have loaded. */
  getDemand: () => { models: string[]; slots: number };
  onGrants: (grants: ChunkGrant[], requestedAt: number) => void;
}

export class ChunkPoller {
  private owners = new Map<string, OwnerState>();

  constructor(private readonly options: ChunkPollerOptions) {}

  /** Sends a request to one of the owners that are due. */
  poll(): void {
    const now = this.options.io.timer.now();
    const demand = this.options.getDemand();
    const inFlight = [...this.owners.values()]
      .filter(({ requestedAt }) => now - requestedAt <= SLOW_REQUEST_THRESHOLD_MS)
      .reduce((sum, { requestedSlots: requested }) => sum + requested, 0);
    const slots = demand.slots - inFlight;
    if (slots <= 0 || demand.models.length === 0) return;
    const shards = this.options.ownerClient.listOwners();
    const due = [...shards.keys()].filter((id) => this.isDue(id, now));
    if (due.length === 0) return;
    const owner = this.options.io.random.pick(due);
    void this.request(owner, shards.get(owner)!, demand.models, slots);
  }

  private isDue(owner: string, now: number): boolean {
    const state = this.owners.get(owner) ?? { ...INITIAL_OWNER_STATE };
    this.owners.set(owner, state);
    const hasOpenChunks = this.options.ownerClient.hasOpenChunks(owner);
    if (hasOpenChunks === true && state.hasOpenChunks !== true) {
      Object.assign(state, { backOffMs: 0, nextAt: now });
    }
    state.hasOpenChunks = hasOpenChunks;
    return state.requestedSlots === 0 && state.nextAt <= now;
  }

  private async request(
    owner: string,
    shard: number,
    models: string[],
    slots: number,
  ): Promise<void> {
    const { io, ownerClient: calls, executorId, onGrants } = this.options;
    const state = this.owners.get(owner)!;
    state.requestedSlots = slots;
    const requestedAt = io.timer.now();
    state.requestedAt = requestedAt;
    const reply = await calls.requestChunk({ shard, executorId, models, slots });
    state.requestedSlots = 0;
    const grants = reply.isOk() ? reply.value.grants : [];
    if (grants.length > 0) {
      state.backOffMs = 0;
      state.nextAt = io.timer.now();
      onGrants(grants, requestedAt);
    } else {
      this.backOff(state);
    }
    // The next owner is asked at once, each at its own rate.
    this.poll();
  }

  private backOff(state: OwnerState): void {
    const { timer, random } = this.options.io;
    const spread = Math.max(1, this.owners.size / OWNERS_AT_FULL_RATE);
    state.backOffMs =
      state.hasOpenChunks === false
        ? NO_OPEN_CHUNKS_BACK_OFF_MS * spread
        : Math.min(MAX_BACK_OFF_MS * spread, Math.max(FIRST_BACK_OFF_MS, state.backOffMs * 2));
    state.nextAt = timer.now() + state.backOffMs * (0.5 + 0.5 * random.next());
  }
}
