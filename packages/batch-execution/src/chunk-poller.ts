/**
 * Requests chunks from job owners while slots are idle. Owners that advertise open chunks are polled
 * often, the others rarely, in case their member entry is outdated.
 */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { ChunkGrant } from '@jujubelanding/peer-protocol';
import type { JobOwnerClient } from './job-owner-client.js';

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;
/** Rarely needed, because gossip repairs a lost change of a member entry within seconds. */
const NO_OPEN_CHUNKS_BACKOFF_MS = 30_000;
/** Slots requested from an owner that takes longer are requested from others too, so as not to stay idle. */
const SLOW_REQUEST_THRESHOLD_MS = 100;
/** With more owners than this, each is polled less often, which bounds the total request rate. */
const OWNERS_AT_FULL_RATE = 8;

interface OwnerState {
  backoffMs: number;
  nextAt: number;
  requestedAt: number;
  /** Slots of the request in flight; 0 when there is none. */
  requestedSlots: number;
  /** Whether the owner last advertised open chunks; undefined when it advertised nothing. */
  hasOpenChunks: boolean | undefined;
}

const INITIAL_OWNER_STATE: OwnerState = {
  backoffMs: 0,
  nextAt: 0,
  requestedAt: 0,
  requestedSlots: 0,
  hasOpenChunks: undefined,
};

export interface ChunkPollerOptions {
  io: Pick<EntryVmIo, 'timer' | 'random'>;
  ownerClient: JobOwnerClient;
  executorId: string;
  /** Idle slots for which no item is available, and the models and adapters loaded by their workers. */
  getDemand: () => { models: string[]; slots: number };
  onGrants: (grants: ChunkGrant[], requestedAt: number) => void;
}

export class ChunkPoller {
  private owners = new Map<string, OwnerState>();

  constructor(private readonly options: ChunkPollerOptions) {}

  /** Sends a request to a random owner among those that are due. */
  poll(): void {
    const now = this.options.io.timer.now();
    const demand = this.options.getDemand();
    const inFlight = [...this.owners.values()]
      .filter(({ requestedAt }) => now - requestedAt <= SLOW_REQUEST_THRESHOLD_MS)
      .reduce((sum, { requestedSlots }) => sum + requestedSlots, 0);
    const slots = demand.slots - inFlight;
    if (slots <= 0 || demand.models.length === 0) return;
    const shardByOwner = this.options.ownerClient.listOwners();
    const due = [...shardByOwner.keys()].filter((id) => this.isDue(id, now));
    if (due.length === 0) return;
    const ownerId = this.options.io.random.pick(due);
    void this.request(ownerId, shardByOwner.get(ownerId)!, demand.models, slots);
  }

  private isDue(ownerId: string, now: number): boolean {
    const state = this.owners.get(ownerId) ?? { ...INITIAL_OWNER_STATE };
    this.owners.set(ownerId, state);
    const hasOpenChunks = this.options.ownerClient.hasOpenChunks(ownerId);
    if (hasOpenChunks === true && state.hasOpenChunks !== true) {
      Object.assign(state, { backoffMs: 0, nextAt: now });
    }
    state.hasOpenChunks = hasOpenChunks;
    return state.requestedSlots === 0 && state.nextAt <= now;
  }

  private async request(
    ownerId: string,
    shard: number,
    models: string[],
    slots: number,
  ): Promise<void> {
    const { io, ownerClient, executorId, onGrants } = this.options;
    const state = this.owners.get(ownerId)!;
    state.requestedSlots = slots;
    const requestedAt = io.timer.now();
    state.requestedAt = requestedAt;
    const reply = await ownerClient.requestChunk({ shard, executorId, models, slots });
    state.requestedSlots = 0;
    const grants = reply.isOk() ? reply.value.grants : [];
    if (grants.length > 0) {
      state.backoffMs = 0;
      state.nextAt = io.timer.now();
      onGrants(grants, requestedAt);
    } else {
      this.backOff(state);
    }
    // Polls the next owner at once; each owner has a separate backoff.
    this.poll();
  }

  private backOff(state: OwnerState): void {
    const { timer, random } = this.options.io;
    const rateDivisor = Math.max(1, this.owners.size / OWNERS_AT_FULL_RATE);
    state.backoffMs =
      state.hasOpenChunks === false
        ? NO_OPEN_CHUNKS_BACKOFF_MS * rateDivisor
        : Math.min(MAX_BACKOFF_MS * rateDivisor, Math.max(INITIAL_BACKOFF_MS, state.backoffMs * 2));
    state.nextAt = timer.now() + state.backoffMs * (0.5 + 0.5 * random.next());
  }
}
