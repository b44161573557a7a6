/** Group commit of claims on the shard owner, with at most one write in progress per shard. */
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
 * Time between writes under load. After an idle period two writes may follow each other without delay, so
 * that neither a single claim nor one that arrives during its write has to wait.
 */
export const WRITE_INTERVAL_MS = 250;

/** Maximum number of claims per write; limits the growth of a page per write to about 60 KiB. */
const MAX_GROUP_CLAIMS = 500;

/**
 * Delay after a failed read or write, so that owners do not all retry at once when the service
 * recovers.
 */
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

/** Records the claims of one shard during one period of ownership. */
export class ClaimOwner {
  private readonly storage: ClaimStorage;

  private loading: Reply<void> | undefined;

  private readonly pending: PendingClaim[] = [];

  private isWriting = false;

  /** Time until which the previous writes use up the write rate. */
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

  /** Reads the recorded claims; after a failure a later call tries again. */
  load(): Reply<void> {
    this.loading ??= this.loadStorage();
    return this.loading;
  }

  prune(): void {
    this.storage.prune();
  }

  /** Rejects all claims that are not being written yet. */
  close(): void {
    this.pending.splice(0).forEach(({ resolve }) => resolve(err(this.createNotOwnerFault())));
  }

  private async loadStorage(): Reply<void> {
    const expired = await this.storage.load();
    if (expired.isErr()) {
      // Until the delay is over, further calls get the same fault.
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
      // The remaining pages are removed by the next owner or in the next hour.
      if (removed.isErr()) return;
    }
  }

  private async writeGroups(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    while (this.pending.length > 0) {
      await this.waitForWriteSlot();
      const group = this.pending.splice(0, MAX_GROUP_CLAIMS);
      // The group is empty if the shard was lost while waiting.
      if (group.length > 0 && !(await this.writeGroup(group))) await this.backOff();
    }
    this.isWriting = false;
  }

  /** Waits until the next write is due; claims that arrive meanwhile join it. */
  private async waitForWriteSlot(): Promise<void> {
    const { timer } = this.options;
    const dueIn = this.budgetUsedUntil - WRITE_INTERVAL_MS - timer.now();
    if (dueIn > 0) await timer.sleep(dueIn);
    this.budgetUsedUntil = Math.max(this.budgetUsedUntil, timer.now()) + WRITE_INTERVAL_MS;
  }

  private backOff(): Promise<void> {
    const { timer, random } = this.options;
    const { least, spread } = FAILURE_BACKOFF_MS;
    return timer.sleep(least + random.nextInt(spread));
  }

  /** Writes a group of claims and answers its calls; false if the write failed. */
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
      // A claim that is recorded has a definite answer, even if the outcome of its write was
      // unknown.
      if (this.storage.claims.has(claim.claimId)) resolve(this.answer(claim));
      else resolve(err(written.isErr() ? written.error : this.createNotOwnerFault()));
    }
    return written.isOk();
  }

  private answer(claim: ClaimEntry): ClaimResponse {
    const match = compareClaim(claim, this.storage.claims.get(claim.claimId));
    if (match === ClaimComparison.SameCall) return ok({ status: ClaimStatus.Claimed });
    if (match === ClaimComparison.AlreadyClaimed) return ok({ status: ClaimStatus.AlreadyClaimed });
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
