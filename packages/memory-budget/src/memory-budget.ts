import type { Timer } from '@jujubelanding/timer';

/** What callers take memory for. */
export enum MemoryPurpose {
  /** Bodies being received. */
  Receiving = 'receiving',
  /** Bodies kept for another attempt. */
  Kept = 'kept',
  /** Batch jobs being accepted. */
  BatchJob = 'batch-job',
  /** Responses that their callers have not read. */
  Unread = 'unread',
}

/** Share of the budget that is in use after others were dropped, so that each choice drops several. */
const DROP_TO_SHARE = 0.875;

/** Share of the budget that one request is counted with beyond the bytes that it has sent. */
const MAX_REQUEST_SHARE = 0.75;

/** Time in which a reservation is not judged by its rate. */
const GRACE_MS = 1000;

export interface MemoryBudgetOptions {
  timer: Pick<Timer, 'now'>;
  maxBytes: number;
}

interface Entry {
  purpose: MemoryPurpose;
  bytes: number;
  /** Bytes that have arrived, or have been read, since the start. */
  progress: number;
  startedAt: number;
  /** Ends what the memory is for; undefined if that cannot be ended. */
  drop: (() => void) | undefined;
}

/** Memory reserved for one purpose of one caller. */
export interface Reservation {
  /**
   * Sets the reserved bytes and adds to the progress. Drops others if the budget is used up; returns false if
   * this reservation was dropped or does not fit.
   */
  resize(bytes: number, progress?: number): boolean;
  /** Changes the purpose; the memory is not dropped from then on. */
  keep(purpose: MemoryPurpose, bytes: number): boolean;
  /** Gives the memory back; repeated calls have no effect. */
  release(): void;
}

/** Orders by who is dropped first: the least progress over time, then the largest of the young ones. */
const createOrder =
  (now: number) =>
  (first: Entry, second: Entry): number => {
    const firstAge = now - first.startedAt;
    const secondAge = now - second.startedAt;
    const isFirstYoung = firstAge < GRACE_MS;
    if (isFirstYoung !== secondAge < GRACE_MS) return isFirstYoung ? 1 : -1;
    if (isFirstYoung) return second.bytes - first.bytes;
    return first.progress / firstAge - second.progress / secondAge;
  };

/** Memory that the callers of one process take together. */
export class MemoryBudget {
  private readonly entries = new Set<Entry>();

  private used = 0;

  constructor(private readonly options: MemoryBudgetOptions) {}

  get usedBytes(): number {
    return this.used;
  }

  /**
   * Returns the memory of a request whose processing takes a multiple of its bytes. It leaves room for
   * others, so that a single request inside the limits is served beside a few small ones.
   */
  estimate(bytes: number, factor: number): number {
    return Math.max(bytes, Math.min(bytes * factor, this.options.maxBytes * MAX_REQUEST_SHARE));
  }

  getUsed(purpose: MemoryPurpose): number {
    let bytes = 0;
    for (const entry of this.entries) if (entry.purpose === purpose) bytes += entry.bytes;
    return bytes;
  }

  /** Opens a reservation of no bytes. */
  open(purpose: MemoryPurpose, drop?: () => void): Reservation {
    const startedAt = this.options.timer.now();
    const entry: Entry = { purpose, bytes: 0, progress: 0, startedAt, drop };
    this.entries.add(entry);
    return {
      resize: (bytes, progress = 0) => {
        entry.progress += progress;
        return this.resize(entry, bytes);
      },
      keep: (kept, bytes) => {
        if (!this.entries.has(entry)) return false;
        entry.purpose = kept;
        entry.drop = undefined;
        return this.resize(entry, bytes);
      },
      release: () => this.remove(entry),
    };
  }

  /** Reserves memory that is not dropped; returns undefined if it does not fit. */
  reserve(purpose: MemoryPurpose, bytes: number): Reservation | undefined {
    const reservation = this.open(purpose);
    if (reservation.resize(bytes)) return reservation;
    reservation.release();
    return undefined;
  }

  /** Drops the one with the least progress over time; returns false if there is none past its start. */
  dropSlowest(): boolean {
    const now = this.options.timer.now();
    const order = createOrder(now);
    let slowest: Entry | undefined;
    for (const entry of this.entries) {
      const isHeld = entry.drop !== undefined && entry.bytes > 0;
      const isCandidate = isHeld && now - entry.startedAt >= GRACE_MS;
      if (isCandidate && (slowest === undefined || order(entry, slowest) < 0)) slowest = entry;
    }
    if (slowest !== undefined) this.drop(slowest);
    return slowest !== undefined;
  }

  private resize(entry: Entry, bytes: number): boolean {
    if (!this.entries.has(entry)) return false;
    const isGrowing = bytes > entry.bytes;
    this.count(entry, bytes);
    if (!isGrowing || this.used <= this.options.maxBytes) return true;
    this.dropOthers();
    return this.entries.has(entry) && this.used <= this.options.maxBytes;
  }

  /** Drops in order until there is room; the reservation that grows may be one of them. */
  private dropOthers(): void {
    const target = this.options.maxBytes * DROP_TO_SHARE;
    const candidates = [...this.entries].filter(({ drop, bytes }) => drop && bytes > 0);
    const droppable = candidates.reduce((sum, { bytes }) => sum + bytes, 0);
    // Dropping all of them would not make room.
    if (this.used - droppable > this.options.maxBytes) return;
    candidates.sort(createOrder(this.options.timer.now()));
    for (const candidate of candidates) {
      if (this.used <= target) return;
      this.drop(candidate);
    }
  }

  private drop(entry: Entry): void {
    const { drop } = entry;
    this.remove(entry);
    drop?.();
  }

  private remove(entry: Entry): void {
    if (!this.entries.delete(entry)) return;
    this.count(entry, 0);
  }

  private count(entry: Entry, bytes: number): void {
    this.used += bytes - entry.bytes;
    entry.bytes = bytes;
  }
}
