/**
 * Claims for non-idempotent requests: the client on every VM and the owners of this VM's shards.
 */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Claims, EntryVmIo, ShardTable } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { ClaimStatus, PeerMethod, type ClaimRequest } from '@jujubelanding/peer-protocol';
import { computeChecksum, computeShard } from '@jujubelanding/random';
import type { Subscription } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { ClaimOwner } from './claim-owner.js';

/** Time within which a claim must be answered; the takeover of a shard may take longer. */
const CLAIM_TIMEOUT_MS = 3000;

const RETRY_DELAY_MS = { least: 50, spread: 100 };

/**
 * Hex digits kept of the hash of team and key; 128 bits make collisions negligible and keep pages
 * small.
 */
const CLAIM_ID_DIGITS = 32;

/**
 * Hex digits kept of the hash that identifies a call. Only calls with the same key are compared: two of
 * them share all 64 bits with a probability of 2^-64, which at 1e9 pairs a day happens once in 5e7 years.
 */
const CALL_TOKEN_DIGITS = 16;

const PRUNE_INTERVAL_MS = 600_000;

/**
 * Random delay of loads after acquiring shards, so that restarting all VMs does not cause a burst
 * of reads.
 */
const LOAD_JITTER_MS = 1000;

/** Faults after which a retry, possibly with another owner, may succeed. */
const RETRYABLE_CODES: ReadonlySet<FaultCode> = new Set([
  FaultCode.NotOwner,
  FaultCode.Unavailable,
  FaultCode.Timeout,
  FaultCode.Interrupted,
  FaultCode.Upstream,
]);

export interface ClaimsOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store' | 'network' | 'createLog' | 'metrics'>;
  entryVmId: string;
  retentionMs: number;
  shards: ShardTable;
}

/** Claims idempotency keys with the shard owners, and records the claims of owned shards. */
export class ClaimsController implements Claims {
  private readonly owners = new Map<number, ClaimOwner>();

  private readonly subscriptions: Subscription[] = [];

  private readonly log: Log;

  constructor(private readonly options: ClaimsOptions) {
    this.log = options.io.createLog('claims');
  }

  start(): void {
    const { network, timer } = this.options.io;
    network.handle(PeerMethod.Claim, (request) => this.answer(request));
    this.subscriptions.push(
      this.options.shards.onChange(() => this.syncOwners()),
      timer.every(PRUNE_INTERVAL_MS, () => this.owners.forEach((owner) => owner.prune())),
    );
    this.syncOwners();
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.owners.forEach((owner) => owner.close());
    this.owners.clear();
  }

  async claim(
    team: string,
    idempotencyKey: string,
    digest: string,
    requestId: string,
  ): Reply<void> {
    const { random, timer } = this.options.io;
    const claimId = computeChecksum(`${team}\n${idempotencyKey}`).slice(0, CLAIM_ID_DIGITS);
    // Unique per call, because request ids may repeat and the claim may be granted to one call
    // only.
    const callIdentity = `${requestId}/${this.options.entryVmId}/${random.createId()}`;
    const token = computeChecksum(callIdentity).slice(0, CALL_TOKEN_DIGITS);
    const request = { shard: computeShard(claimId), claimId, digest, requestId: token };
    const deadline = timer.now() + CLAIM_TIMEOUT_MS;
    for (;;) {
      const reply = await this.requestClaim(request, deadline - timer.now());
      if (reply.isOk()) return this.toResult(reply.value.status);
      if (!RETRYABLE_CODES.has(reply.error.code)) return err(reply.error);
      const delayMs = RETRY_DELAY_MS.least + random.nextInt(RETRY_DELAY_MS.spread);
      if (timer.now() + delayMs >= deadline) return err(this.createRefusal(reply.error));
      await timer.sleep(delayMs);
    }
  }

  private toResult(status: ClaimStatus): Awaited<Reply<void>> {
    if (status === ClaimStatus.Claimed) return ok(undefined);
    return err({
      code: FaultCode.AlreadyClaimed,
      // Refers to the request itself, which may have run in an earlier call with this key.
      outcome: Outcome.OutcomeUnknown,
      step: 'claim',
      message: 'a request with this idempotency key was accepted before and may have run',
    });
  }

  private createRefusal(cause: Fault): Fault {
    this.options.io.metrics.increment('claims.refused');
    return { ...cause, code: FaultCode.Unavailable, outcome: Outcome.NotRun };
  }

  private requestClaim(request: ClaimRequest, timeoutMs: number): Reply<{ status: ClaimStatus }> {
    const { network } = this.options.io;
    const owner = this.options.shards.ownerOf(request.shard);
    if (this.options.shards.fenceOf(request.shard) !== undefined) {
      return Promise.race([this.answer(request), this.timeOutAfter(timeoutMs)]);
    }
    if (owner === undefined || owner.entryVmId === this.options.entryVmId) {
      return Promise.resolve(err(this.createNotOwnerFault(request.shard)));
    }
    return network.call(owner, PeerMethod.Claim, request, Math.min(1000, timeoutMs));
  }

  private async timeOutAfter(timeoutMs: number): Reply<never> {
    await this.options.io.timer.sleep(timeoutMs);
    return err({
      code: FaultCode.Timeout,
      outcome: Outcome.OutcomeUnknown,
      step: 'claim',
      message: 'the claim was not recorded in time',
    });
  }

  private answer(request: ClaimRequest): Reply<{ status: ClaimStatus }> {
    const owner = this.getOrCreateOwner(request.shard);
    if (owner === undefined) return Promise.resolve(err(this.createNotOwnerFault(request.shard)));
    return owner.claim(request);
  }

  private getOrCreateOwner(shard: number): ClaimOwner | undefined {
    const fence = this.options.shards.fenceOf(shard);
    if (fence === undefined) return undefined;
    const existing = this.owners.get(shard);
    if (existing?.fence === fence) return existing;
    existing?.close();
    const { random, store, timer } = this.options.io;
    const owner = new ClaimOwner({
      store,
      shard,
      fence,
      retentionMs: this.options.retentionMs,
      wallClock: () => timer.wallClock(),
      createId: () => random.createId(),
      isValid: () => this.options.shards.fenceOf(shard) === fence,
      timer,
      random,
      log: this.log,
    });
    this.owners.set(shard, owner);
    return owner;
  }

  /** Preloads the claims of acquired shards and drops the state of lost ones. */
  private syncOwners(): void {
    const { random, timer } = this.options.io;
    const owned = new Set(this.options.shards.owned().map(({ shard }) => shard));
    for (const [shard, owner] of this.owners) {
      if (owned.has(shard)) continue;
      owner.close();
      this.owners.delete(shard);
    }
    for (const shard of owned) {
      if (this.owners.has(shard)) continue;
      const owner = this.getOrCreateOwner(shard);
      timer.after(random.nextInt(LOAD_JITTER_MS), () => {
        void owner?.load();
      });
    }
  }

  private createNotOwnerFault(shard: number): Fault {
    return {
      code: FaultCode.NotOwner,
      outcome: Outcome.NotRun,
      step: 'claim',
      peer: this.options.entryVmId,
      message: `shard ${shard} is not owned by this VM`,
    };
  }
}
