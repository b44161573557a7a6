/** Owner's side: group commit of claims, one write in progress per shard. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { ClaimStatus, type ClaimRequest } from '@jujubelanding/peer-protocol';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import { ClaimComparison, compareClaim, selectUnrecorded } from './claim-comparison.js';
import type { ClaimEntry } from './claim-encoding.js';
import { ClaimStorage, type ClaimStorageOptions } from './claim-storage.js';

/**
 * Time per write under load. After a quiet time two writes follow at once, so that neither a lone
 * claim nor one that arrives during its write is delayed.
 */
export const WRITE_INTERVAL_MS = 250;

/** Claims written at once at most; bounds the growth of a page by one write to about 60 KiB. */
const MAX_GROUP_CLAIMS = 500;

/** Pause after a failed read or write, so that a service that recovers isn't met by all at once. */
const FAILURE_BACKOFF_MS = { least: 200, spread: 300 };

export interface ClaimOwnerOptions extends ClaimStorageOptions {
  timer: Timer;
  random: Random;
  log: Log;
}

export type ClaimResponse = Result<{ status: ClaimStatus }, Fault>;

interface PendingClaim {
  claim: ClaimEntry;
  resolve: (answer: ClaimResponse) => void;
}

/** Claims of one shard during one ownership. */
export class ClaimOwner {
  private readonly storage: ClaimStorage;

  private loading: Reply<void> | undefined;

  private readonly pending: PendingClaim[] = [];

  private isWriting = false;

  /** Time until which the writes so far use up the rate. */
  private budgetUsedUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ClaimOwnerOptions) {
    this.storage = new ClaimStorage(options);
  }

  get fence(): number {
    return this.options.fence;
  }

  async claim(request: ClaimRequest): Reply<{ status: ClaimStatus }> {
    const loaded = await this.load();
    if (loaded.isErr()) return err(loaded.error);
    const { claimId, digest, requestId } = request;
    const claim = { claimId, digest, token: requestId, at: this.options.wallClock() };
    const recorded = this.storage.claims.get(claimId);
    if (recorded !== undefined) return this.answer(claim);
    return new Promise((resolve) => {
      this.pending.push({ claim, resolve });
      void this.writeGroups();
    });
  }

  /** Reads the recorded claims; a failed load is repeated by the next call. */
  load(): Reply<void> {
    this.loading ??= this.loadStorage();
    return this.loading;
  }

  prune(): void {
    this.storage.prune();
  }

  /** Refuses everything that is not written yet. */
  close(): void {
    this.pending.splice(0).forEach(({ resolve }) => resolve(err(this.createNotOwnerFault())));
  }

  private async loadStorage(): Reply<void> {
    const expired = await this.storage.load();
    if (expired.isErr()) {
      // Until the pause is over, further calls get the same fault.
      void this.backOff().then(() => {
        this.loading = undefined;
      });
      return err(expired.error);
    }
    void this.removeExpired(expired.value);
    return ok(undefined);
  }

  private async removeExpired(
    entries: Parameters<ClaimStorage['removeExpired']>[0][],
  ): Promise<void> {
    for (const entry of entries) {
      const removed = await this.storage.removeExpired(entry);
      // The next owner or the next hour removes what is left.
      if (removed.isErr()) return;
    }
  }

  private async writeGroups(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    while (this.pending.length > 0) {
      await this.waitForWriteSlot();
      const group = this.pending.splice(0, MAX_GROUP_CLAIMS);
      // Empty when the shard was lost while waiting.
      if (group.length > 0 && !(await this.writeGroup(group))) await this.backOff();
    }
    this.isWriting = false;
  }

  /** Claims that arrive in the meantime share the write. */
  private async waitForWriteSlot(): Promise<void> {
    const { timer } = this.options;
    const dueIn = this.budgetUsedUntil - WRITE_INTERVAL_MS - timer.now();
    if (dueIn > 0) await timer.sleep(dueIn);
    this.budgetUsedUntil = Math.max(this.budgetUsedUntil, timer.now()) + WRITE_INTERVAL_MS;
  }

  private backOff(): Promise<void> {
    const { timer, random } = this.options;
    const { least, spread } = FAILURE_BACKOFF_MS;
    return timer.sleep(least + random.below(spread));
  }

  /** Writes a group and answers it; false when the write failed. */
  private async writeGroup(group: PendingClaim[]): Promise<boolean> {
    const requested = group.map(({ claim }) => claim);
    const written = await this.storage.append(() =>
      selectUnrecorded(requested, this.storage.claims),
    );
    this.options.log.write('claims', {
      shard: this.options.shard,
      fence: this.options.fence,
      count: group.length,
      result: written.isOk() ? 'written' : written.error.message,
    });
    for (const { claim, resolve } of group) {
      // Claims recorded before, also by a write whose outcome was unknown, have a definite answer.
      if (this.storage.claims.has(claim.claimId)) resolve(this.answer(claim));
      else resolve(err(written.isErr() ? written.error : this.createNotOwnerFault()));
    }
    return written.isOk();
  }

  private answer(claim: ClaimEntry): ClaimResponse {
    const comparison = compareClaim(claim, this.storage.claims.get(claim.claimId));
    if (comparison === ClaimComparison.SameCall) return ok({ status: ClaimStatus.Claimed });
    if (comparison === ClaimComparison.AlreadyClaimed)
      return ok({ status: ClaimStatus.AlreadyClaimed });
    return err({
      code: FaultCode.KeyReused,
      outcome: Outcome.NotRun,
      step: 'claim',
      message: 'the idempotency key was used for another request',
    });
  }

  private createNotOwnerFault(): Fault {
    return {
      code: FaultCode.NotOwner,
      outcome: Outcome.NotRun,
      step: 'claim',
      message: `shard ${this.options.shard} is no longer owned by this VM`,
    };
  }
}
