/** Stores the claims of one shard in the key-value service, under one fencing number. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { KeyValueEntry, KeyValueStore } from '@jujubelanding/platform';
import { WriteStatus } from '@jujubelanding/platform';
import { err, ok, type Result } from 'neverthrow';
import {
  claimPrefix,
  decodeHead,
  decodePage,
  encodeHead,
  encodePage,
  headKey,
  hourOf,
  isExpiredKey,
  MAX_CLAIM_VALUE_BYTES,
  nextPageKey,
  pageKey,
  parsePageKey,
  type ClaimEntry,
  type ClaimHead,
  type ClaimPage,
} from './claim-encoding.js';

/** Pages per list call; pages written by earlier versions have up to 256 KiB each. */
const LIST_LIMIT = 16;

/**
 * Attempts per write; after a conflict or an unknown outcome the stored value is read before the
 * next one.
 */
const MAX_ATTEMPTS = 5;

export interface ClaimStorageOptions {
  store: KeyValueStore;
  shard: number;
  fence: number;
  retentionMs: number;
  wallClock: () => number;
  createId: () => string;
  /** True while the lease on the shard with this fencing number is certainly valid. */
  isValid: () => boolean;
}

interface Versioned<T> {
  revision: number;
  value: T;
}

/**
 * Appends claims to the page that the head names. Each new owner first rewrites the head and then the
 * page, both by compare-and-swap, so that a delayed write of a previous owner to either of them fails.
 * A page is closed before the head moves to the next one, so delayed writes to it fail for the same
 * reason.
 */
export class ClaimStorage {
  readonly claims = new Map<string, ClaimEntry>();

  private head: Versioned<ClaimHead> | undefined;

  private page: Versioned<ClaimPage> | undefined;

  /** Page key that the head named when the pages were loaded. */
  private loadedHeadKey: string | undefined;

  /** True once the head has been written under this owner's fencing number. */
  private isHeadOwned = false;

  constructor(private readonly options: ClaimStorageOptions) {}

  /** Reads all claims within the retention time; returns the expired pages. */
  async load(): Reply<KeyValueEntry[]> {
    // Read before the pages, so that a later roll-over is detected by a different head.
    const head = await this.readHead();
    if (head.isErr()) return err(head.error);
    const expired: KeyValueEntry[] = [];
    let afterKey: string | undefined;
    for (;;) {
      const prefix = claimPrefix(this.options.shard);
      const listed = await this.options.store.list(prefix, LIST_LIMIT, afterKey);
      if (listed.isErr()) return err(this.toUnavailable(listed.error));
      const { entries } = listed.value;
      const merged = this.mergePages(entries, expired);
      if (merged.isErr()) return err(merged.error);
      if (entries.length < LIST_LIMIT) break;
      afterKey = entries.at(-1)!.key;
    }
    this.loadedHeadKey = head.value?.value.key;
    return ok(expired);
  }

  /** Records claims durably. After a fault, each of them may or may not be recorded. */
  async append(selectClaims: () => ClaimEntry[]): Reply<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const prepared = await this.preparePage();
      if (prepared.isErr()) return err(prepared.error);
      if (prepared.value) {
        const selected = selectClaims();
        if (selected.length === 0) return ok(undefined);
        const written = await this.writePage(selected);
        if (written.isErr()) return err(written.error);
        if (written.value) return ok(undefined);
      }
    }
    return err(this.createFault(FaultCode.Unavailable, 'claims could not be written'));
  }

  /** Deletes an expired page unless the head names it. */
  async removeExpired(entry: KeyValueEntry): Reply<void> {
    if (!this.options.isValid()) return err(this.createNotOwnerFault());
    const head = await this.readHead();
    if (head.isErr()) return err(head.error);
    if (head.value?.value.key === entry.key) return ok(undefined);
    const removed = await this.options.store.remove(entry.key, entry.modRevision);
    return removed.map(() => undefined);
  }

  /** Removes claims older than the retention time from memory. */
  prune(): void {
    const oldest = this.options.wallClock() - this.options.retentionMs;
    for (const [claimId, claim] of this.claims) if (claim.at < oldest) this.claims.delete(claimId);
  }

  /**
   * Ensures that the head is owned and the page is loaded and has room; false if the caller must
   * retry.
   */
  private async preparePage(): Reply<boolean> {
    if (!this.isHeadOwned) {
      const owned = await this.acquireHead();
      if (owned.isErr() || !owned.value) return owned;
    }
    if (this.page === undefined) {
      const read = await this.readPage();
      if (read.isErr()) return err(read.error);
    }
    return this.needsRollOver() ? this.rollOver() : ok(true);
  }

  private needsRollOver(): boolean {
    const page = this.page!;
    if (page.value.closed) return true;
    // Claims of a later hour would expire with the page, before their retention time has passed.
    const hour = parsePageKey(this.head!.value.key)?.hour ?? 0;
    if (hour < hourOf(this.options.wallClock())) return true;
    return encodePage(page.value).length >= MAX_CLAIM_VALUE_BYTES;
  }

  private async readHead(): Reply<Versioned<ClaimHead> | undefined> {
    const found = await this.options.store.get(headKey(this.options.shard));
    if (found.isErr()) return err(this.toUnavailable(found.error));
    const entry = found.value;
    if (entry === undefined) return ok(undefined);
    return decodeHead(entry.value).map((value) => ({ revision: entry.modRevision, value }));
  }

  /**
   * Writes the head under this owner's fencing number, after which no previous owner can change it.
   */
  private async acquireHead(): Reply<boolean> {
    const { shard, wallClock } = this.options;
    const found = await this.readHead();
    if (found.isErr()) return err(found.error);
    const current = found.value;
    if (current !== undefined && current.value.fence > this.options.fence) {
      return err(this.createNotOwnerFault());
    }
    const key = current?.value.key ?? pageKey(shard, hourOf(wallClock()), 0);
    const written = await this.writeHead(key, current?.revision ?? 0);
    if (written.isErr() || !written.value || current?.value.key === this.loadedHeadKey) {
      return written;
    }
    // A previous owner moved on to another page after the load, so the pages loaded may be
    // incomplete.
    const loaded = await this.load();
    if (loaded.isErr()) this.isHeadOwned = false;
    return loaded.map(() => true);
  }

  private async writeHead(key: string, expectedRevision: number): Reply<boolean> {
    if (!this.options.isValid()) return err(this.createNotOwnerFault());
    const head = { fence: this.options.fence, writeId: this.options.createId(), key };
    const written = await this.options.store.write({
      key: headKey(this.options.shard),
      value: encodeHead(head),
      expectedRevision,
    });
    // After an unknown outcome or a conflict the head is read again.
    this.isHeadOwned = written.isOk() && written.value.status === WriteStatus.Written;
    this.page = undefined;
    if (written.isErr() && written.error.outcome !== Outcome.OutcomeUnknown) {
      return err(this.toUnavailable(written.error));
    }
    if (written.isErr() || written.value.status === WriteStatus.Conflict) return ok(false);
    this.head = { revision: written.value.revision, value: head };
    return ok(true);
  }

  private async readPage(): Reply<void> {
    const found = await this.options.store.get(this.head!.value.key);
    if (found.isErr()) return err(this.toUnavailable(found.error));
    const entry = found.value;
    const empty = { fence: this.options.fence, writeId: '', closed: false, claims: [] };
    const decoded = entry === undefined ? ok(empty) : decodePage(entry.value);
    if (decoded.isErr()) return err(decoded.error);
    const { value } = decoded;
    if (value.fence > this.options.fence) return err(this.createNotOwnerFault());
    this.page = { revision: entry?.modRevision ?? 0, value };
    this.mergePage(value);
    return ok(undefined);
  }

  /** Closes the page and moves the head to the next page. */
  private async rollOver(): Reply<boolean> {
    if (!this.page!.value.closed) {
      const closed = await this.store({ ...this.page!.value, closed: true });
      if (closed.isErr() || !closed.value) return closed;
    }
    const key = nextPageKey(this.options.shard, this.head!.value.key, this.options.wallClock());
    const moved = await this.writeHead(key, this.head!.revision);
    if (moved.isErr() || !moved.value) return moved;
    return (await this.readPage()).map(() => true);
  }

  private async writePage(added: readonly ClaimEntry[]): Reply<boolean> {
    const { value } = this.page!;
    const written = await this.store({ ...value, claims: [...value.claims, ...added] });
    if (written.isOk() && written.value) added.forEach((claim) => this.addClaim(claim));
    return written;
  }

  /** Writes the page by compare-and-swap; false if it has to be read again. */
  private async store(content: ClaimPage): Reply<boolean> {
    if (!this.options.isValid()) return err(this.createNotOwnerFault());
    const value = { ...content, fence: this.options.fence, writeId: this.options.createId() };
    const written = await this.options.store.write({
      key: this.head!.value.key,
      value: encodePage(value),
      expectedRevision: this.page!.revision,
    });
    if (written.isOk() && written.value.status === WriteStatus.Written) {
      this.page = { revision: written.value.revision, value };
      return ok(true);
    }
    this.page = undefined;
    if (written.isErr() && written.error.outcome !== Outcome.OutcomeUnknown) {
      return err(this.toUnavailable(written.error));
    }
    return ok(false);
  }

  private mergePages(
    entries: readonly KeyValueEntry[],
    expired: KeyValueEntry[],
  ): Result<void, Fault> {
    for (const entry of entries) {
      if (isExpiredKey(entry.key, this.options.retentionMs, this.options.wallClock())) {
        expired.push(entry);
      } else if (parsePageKey(entry.key) !== undefined) {
        const page = decodePage(entry.value);
        if (page.isErr()) return err(page.error);
        this.mergePage(page.value);
      }
    }
    return ok(undefined);
  }

  private mergePage(page: ClaimPage): void {
    page.claims.forEach((claim) => this.addClaim(claim));
  }

  /** Keeps the first claim of an id, because its call may have been granted it. */
  private addClaim(claim: ClaimEntry): void {
    if (!this.claims.has(claim.claimId)) this.claims.set(claim.claimId, claim);
  }

  private toUnavailable(cause: Fault): Fault {
    return { ...cause, outcome: Outcome.NotRun, code: FaultCode.Unavailable };
  }

  private createNotOwnerFault(): Fault {
    const { shard } = this.options;
    return this.createFault(FaultCode.NotOwner, `shard ${shard} is no longer owned by this VM`);
  }

  private createFault(code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.NotRun, step: 'claim', message };
  }
}
