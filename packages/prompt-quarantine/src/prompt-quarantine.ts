import type { Fault } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import { ChangeKind, type KeyValueChange, type TransactionalStore } from '@jujubelanding/platform';
import { rankOf } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { BlockList, parseBlockId, toBlockId, type Block } from './block-list.js';
import { BlockProbes, type Probe } from './block-probes.js';
import { BlockState, BlockStore, decodeStoredBlock, type BlockStart } from './block-store.js';
import { CrashEvidence, selectShared } from './crash-evidence.js';
import { EvidencePublisher, decodeEvidence, type VmLease } from './evidence-publisher.js';
import { LossAnnouncer } from './loss-announcer.js';
import { LossChecks, type LossGroup, type LostRequest, type RunCheck } from './loss-checks.js';
import { isEarlyCut, LossVerdict } from './loss-decision.js';
import { OwnEvidence } from './own-evidence.js';
import { RecentAnswers } from './recent-answers.js';
import { createBlockFault, createSuspensionFault } from './refusal.js';
import { isRequestKey } from './request-key.js';
import { RequestSuspects, type RequestLoss } from './request-suspects.js';

/** Interval at which the evidence is evaluated and blocks are stored. */
const CHECK_INTERVAL_MS = 250;

/** Shortest time after which callers of a blocked part may come again; an answer takes as long. */
const MIN_RETRY_AFTER_MS = 1000;

export interface PromptQuarantineOptions {
  timer: Timer;
  log: Log;
  metrics: Metrics;
  store: Pick<TransactionalStore, 'commit' | 'grantLease'>;
  lease: () => VmLease;
  /** Key prefix of what the VMs have seen; the id of the VM follows. */
  evidencePrefix: string;
  /** Key prefix of blocks; the id of the block follows. */
  blockPrefix: string;
  /** Key prefix of the numbers of probes of blocks; the id of the block follows. */
  probePrefix: string;
  self: string;
  /** Ids of the other VMs that are alive. */
  listServing: () => readonly string[];
  /** Tells the other VMs at once of requests that were lost, or may have been; messages may get lost. */
  announce: (lost: RequestLoss[], suspected: RequestLoss[]) => void;
  /** Identifies a run of a worker, which may restart under its id. */
  runIdOf: (workerId: string, startedAt: number | undefined) => string;
  /** Finds out whether a run of a worker goes on. Without it, each loss counts as a crash at once. */
  checkRun?: RunCheck;
}

/** An answer that broke off. */
export interface CutAnswer {
  /** Start time of the run of the worker, if it is known. */
  startedAt?: number | undefined;
  sentAt: number;
  firstDataAt: number;
}

enum BlockReason {
  /** Crashes that this VM knows of. */
  Crashes = 'crashes',
  /** Stored by another VM. */
  Stored = 'stored',
  /** What remains of a combination after an answer to a request with a part of it. */
  Narrowed = 'narrowed',
}

/** What a request may be blocked for: its shared parts, and the request itself. */
const listSuspects = (parts: readonly string[], request: string | undefined): readonly string[] =>
  request === undefined ? selectShared(parts) : [...selectShared(parts), request];

/**
 * Learns which prompt parts and which requests crash workers, and refuses such requests. What a VM has seen
 * is stored under its lease and followed by the others; a block is stored apart, so that it outlives all VMs.
 */
export class PromptQuarantine {
  private readonly evidence = new CrashEvidence();

  private readonly own = new OwnEvidence();

  private readonly answered = new RecentAnswers();

  private readonly requests = new RequestSuspects();

  private readonly blocks = new BlockList();

  private readonly publisher: EvidencePublisher;

  private readonly announcer: LossAnnouncer;

  private readonly blockStore: BlockStore;

  private readonly probes: BlockProbes;

  /** Losses of which it is not known yet whether they are crashes. */
  private readonly checks: LossChecks | undefined;

  private readonly subscriptions: Subscription[] = [];

  constructor(private readonly options: PromptQuarantineOptions) {
    const { evidencePrefix, self } = options;
    this.publisher = new EvidencePublisher({
      ...options,
      key: `${evidencePrefix}${self}`,
      readReport: () => {
        const now = options.timer.now();
        return { ...this.own.report(now), requests: this.requests.report(now) };
      },
    });
    this.announcer = new LossAnnouncer(options);
    this.blockStore = new BlockStore({ ...options, prefix: options.blockPrefix });
    this.probes = new BlockProbes(options);
    const { checkRun } = options;
    this.checks =
      checkRun &&
      new LossChecks({
        ...options,
        checkRun,
        onDecided: (group, verdict) => this.applyDecision(group, verdict),
      });
  }

  start(): void {
    const { timer } = this.options;
    this.subscriptions.push(timer.every(CHECK_INTERVAL_MS, () => this.evaluate()));
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.publisher.stop();
    this.announcer.stop();
    this.checks?.stop();
  }

  /**
   * Returns the fault with which a request is refused if it, or a combination of its parts, is blocked and
   * it is no probe. Batch items have no request key: an item under which workers crashed is still owed.
   */
  findBlock(parts: readonly string[], request?: string): Fault | undefined {
    const now = this.options.timer.now();
    this.blocks.prune(now);
    const block = this.findClosedBlock(listSuspects(parts, request), now);
    const undecidedMs = request === undefined ? undefined : this.requests.undecidedMs(request, now);
    if (block === undefined && undecidedMs === undefined) return undefined;
    this.options.metrics.increment('quarantine.refused');
    if (block === undefined) return createSuspensionFault(undecidedMs!);
    block.lastHitAt = now;
    return createBlockFault(block, this.retryAfterMs(block, now));
  }

  /**
   * Has to be called when a request is sent. Returns a probe if a block applies to the request, which is then
   * the only one with these parts that is sent until it is answered or the next probe is due.
   */
  takeProbe(parts: readonly string[]): Probe | undefined {
    if (!this.hasBlocks) return undefined;
    return this.probes.take(this.listProbed(parts), this.options.timer.now());
  }

  /** True if a worker crashed under the request, or may have, and no answer to it is known since. */
  isSuspected(request: string): boolean {
    return this.requests.isOpen(request, this.options.timer.now());
  }

  /** True while anything is blocked. */
  get hasBlocks(): boolean {
    return !this.blocks.isEmpty;
  }

  /** True if a combination of the parts is blocked, and no probe is reserved for it. */
  isBlocked(parts: readonly string[]): boolean {
    return this.findClosedBlock(selectShared(parts), this.options.timer.now()) !== undefined;
  }

  /** Returns the blocks for which a request with these parts would be the probe. */
  listProbed(parts: readonly string[]): string[] {
    return this.blocks.findAll(selectShared(parts)).map(({ id }) => id);
  }

  /**
   * Records that a request with these parts has begun to receive its answer, and, if it is given, that the
   * answer to the request is complete.
   */
  recordAnswer(parts: readonly string[], request?: string): void {
    const shared = selectShared(parts);
    const now = this.options.timer.now();
    this.answered.add(shared);
    if (this.hasBlocks) this.narrowBlocks(shared, now);
    if (!this.evidence.isEmpty) {
      shared.forEach((part) => this.clear(part, this.evidence.listOpenCrashes(part), now));
    }
    shared.forEach((part) => this.checks?.recordAnswer(part));
    if (request !== undefined) this.recordCompletion(request);
  }

  /**
   * Records that the answer to a request is complete. Its first event shows only that workers begin to run
   * it; they may crash under it later.
   */
  recordCompletion(request: string): void {
    const now = this.options.timer.now();
    if (this.hasBlocks) this.narrowBlocks([request], now);
    if (this.requests.recordAnswer(request, now)) this.publisher.schedule();
    this.checks?.recordAnswer(request);
  }

  /** Records data of any request that a run of a worker has sent now; they show that it goes on. */
  recordData(workerId: string, startedAt: number | undefined): void {
    this.checks?.recordData(this.options.runIdOf(workerId, startedAt));
  }

  /**
   * Records that a worker's connection broke before a request with these parts received an answer. The start
   * time is the one of the run to which the request was sent at the time `sentAt`.
   */
  recordLoss(
    workerId: string,
    parts: readonly string[],
    request?: string,
    startedAt?: number,
    sentAt = -Infinity,
  ): void {
    const runId = this.options.runIdOf(workerId, startedAt);
    const lost = { parts, request };
    if (this.checks === undefined) {
      this.recordCrash(runId, [lost]);
      return;
    }
    if (request !== undefined) {
      this.requests.suspect([request, runId], this.options.timer.now());
      this.announcer.addSuspected([request, runId]);
    }
    this.checks.add({ runId, workerId, startedAt }, lost, sentAt);
  }

  /**
   * Records that a worker's connection broke within the answer to a request. Its parts are known not to have
   * crashed the worker.
   */
  recordCut(
    workerId: string,
    request: string,
    { startedAt, sentAt, firstDataAt }: CutAnswer,
  ): void {
    if (!isEarlyCut(firstDataAt, this.options.timer.now())) return;
    this.recordLoss(workerId, [], request, startedAt, sentAt);
  }

  /** Applies losses that another VM has announced, at crashes and at workers that may have crashed. */
  applyLosses(lost: readonly RequestLoss[], suspected: readonly RequestLoss[] = []): void {
    const now = this.options.timer.now();
    lost.forEach((loss) => this.requests.resolve(loss));
    this.requests.addLosses(lost, now);
    suspected.forEach((loss) => this.requests.suspect(loss, now));
    this.reportAnswered(now);
  }

  /** Applies changes of the keys under both prefixes; other keys are ignored. */
  apply(changes: readonly KeyValueChange[]): void {
    const { evidencePrefix, blockPrefix, probePrefix, self, timer } = this.options;
    const now = timer.now();
    for (const change of changes) {
      const { kind, entry } = change;
      const { key, value } = entry;
      const isReport = key.startsWith(evidencePrefix) && key !== `${evidencePrefix}${self}`;
      if (key.startsWith(blockPrefix)) {
        const id = key.slice(blockPrefix.length);
        if (kind === ChangeKind.Delete) this.blocks.recordMissing(id, now);
        else this.applyBlock(id, value, now);
      } else if (key.startsWith(probePrefix)) this.probes.apply(change, now);
      else if (isReport && kind === ChangeKind.Put) this.applyReport(key, value, now);
    }
    this.reportAnswered(now);
  }

  /**
   * Finds a block that applies to a request and is not to be probed with it. The block of a single request is
   * not probed, because it refuses nothing else and ends by itself. If several blocks apply, all VMs reserve
   * their probes in the same order, so that none holds one while another holds the next.
   */
  private findClosedBlock(suspects: readonly string[], now: number): Block | undefined {
    return this.blocks
      .findAll(suspects)
      .toSorted((a, b) => (a.id < b.id ? -1 : 1))
      .find(({ id }) => isRequestKey(id) || !this.probes.want(id, now));
  }

  /** Time after which a request may be served if the next probe of the block is answered. */
  private retryAfterMs(block: Block, now: number): number {
    const remainingMs = this.blocks.remainingMs(block, now);
    if (isRequestKey(block.id)) return remainingMs;
    return Math.min(remainingMs, this.probes.delayMs(block.id, now) + MIN_RETRY_AFTER_MS);
  }

  private applyDecision({ run, losses, answered }: LossGroup, verdict: LossVerdict): void {
    losses.forEach(({ request }) => {
      if (request !== undefined) this.requests.resolve([request, run.runId]);
    });
    if (verdict !== LossVerdict.Crash) return;
    this.recordCrash(run.runId, losses);
    answered.forEach((id) => this.clearCrash(id, run.runId));
  }

  private recordCrash(crashId: string, losses: readonly LostRequest[]): void {
    const now = this.options.timer.now();
    losses.forEach(({ parts, request }) => {
      if (request !== undefined && this.requests.recordLoss(request, crashId, now)) {
        this.announcer.addLost([request, crashId]);
        this.publisher.schedule();
      }
      if (selectShared(parts).length > 0) {
        this.evidence.addLoss(crashId, parts, now);
        if (this.own.addLoss(crashId, parts, now)) this.publisher.schedule();
      }
    });
    this.reportAnswered(now);
  }

  /** Clears a part or a request of a crash that was decided after an answer to it. */
  private clearCrash(id: string, crashId: string): void {
    const now = this.options.timer.now();
    if (isRequestKey(id)) {
      if (!this.requests.hasOpenCrash(id, crashId)) return;
      if (this.requests.clearCrash(id, crashId, now)) this.publisher.schedule();
    } else if (this.evidence.listOpenCrashes(id).includes(crashId)) {
      this.clear(id, [crashId], now);
    }
  }

  private applyBlock(id: string, value: string, now: number): void {
    const stored = decodeStoredBlock(value);
    if (stored === undefined) {
      this.options.log.write('block-skipped', { block: id, reason: 'unreadable' });
    } else if (stored.state === BlockState.Released) this.blocks.remove(id);
    else {
      const { beganAt } = stored;
      const { timer } = this.options;
      const ageMs = beganAt === undefined ? 0 : Math.max(0, timer.wallClock() - beganAt);
      if (this.blocks.recordStored(id, now - ageMs)) this.logBlock(id, BlockReason.Stored);
      this.evidence.explain(parseBlockId(id), now);
      this.requests.explain(id, now);
    }
  }

  private applyReport(key: string, value: string, now: number): void {
    const report = decodeEvidence(value);
    if (report === undefined) {
      this.options.log.write('evidence-skipped', { key, reason: 'unreadable' });
      return;
    }
    this.evidence.add(report, now);
    this.requests.apply(report.requests, now);
  }

  /** Removes answered parts from blocked combinations; a block without further parts is released. */
  private narrowBlocks(answered: readonly string[], now: number): void {
    for (const { id, parts } of this.blocks.list()) {
      const rest = parts.filter((part) => !answered.includes(part));
      if (rest.length < parts.length) {
        const event = isRequestKey(id) ? 'request-cleared' : 'prompt-part-cleared';
        this.options.log.write(event, { block: id, rest });
        this.blocks.remove(id);
        void this.replaceStored(id, rest, now);
      }
    }
  }

  /**
   * Stores what remains of a block and then releases the block. If the rest cannot be stored, the block stays
   * in the store, so that no VM is without either.
   */
  private async replaceStored(id: string, rest: readonly string[], now: number): Promise<void> {
    if (rest.length > 0) {
      void this.probes.narrow(id, toBlockId(rest), now);
      this.block(rest, BlockReason.Narrowed, now);
    }
    void this.probes.reset(id);
    const isRestStored = rest.length === 0 || (await this.store(toBlockId(rest)));
    if (isRestStored) await this.blockStore.write(id, BlockState.Released);
  }

  private block(parts: readonly string[], reason: BlockReason, now: number): void {
    const id = toBlockId(parts);
    if (!this.blocks.add(id, now)) return;
    this.logBlock(id, reason);
  }

  /** Clears the part of the crashes known so far, and reports it if the other VMs suspect the part. */
  private clear(part: string, crashIds: readonly string[], now: number): void {
    if (crashIds.length === 0) return;
    const isSuspected = this.evidence.isSuspected(part);
    this.evidence.addAnswer(part, crashIds, now);
    if (isSuspected && this.own.addAnswer(part, crashIds, now)) this.publisher.schedule();
  }

  /**
   * Reports suspected parts that this VM has seen answered before the crashes, and clears those that are
   * expected at any crash.
   */
  private reportAnswered(now: number): void {
    if (this.requests.reportAnswered(now)) this.publisher.schedule();
    if (this.evidence.isEmpty) return;
    for (const part of this.evidence.listSuspected().filter((id) => this.answered.has(id))) {
      const cleared = this.answered.isExpected(part) ? this.evidence.listOpenCrashes(part) : [];
      this.evidence.addAnswer(part, cleared, now);
      if (this.own.addAnswer(part, cleared, now)) this.publisher.schedule();
    }
  }

  private evaluate(): void {
    const now = this.options.timer.now();
    this.publisher.restore();
    this.pruneReport(now);
    this.evidence.prune(now);
    let parts = this.evidence.findDangerous(now);
    while (parts.length > 0) {
      this.evidence.explain(parts, now);
      // Crashes of probes are explained by the block that was probed.
      if (this.blocks.findAll(parts).length === 0) this.block(parts, BlockReason.Crashes, now);
      parts = this.evidence.findDangerous(now);
    }
    this.requests
      .findDangerous(now)
      .forEach((request) => this.block([request], BlockReason.Crashes, now));
    this.storeBlocks();
    const ids = this.blocks.list().map(({ id }) => id);
    this.probes.update(
      ids.filter((id) => !isRequestKey(id)),
      now,
    );
  }

  /** A VM that starts takes what is stored for new, so the stored report must not hold what has expired. */
  private pruneReport(now: number): void {
    const isChanged = [this.own.prune(now), this.requests.pruneReport(now)].includes(true);
    if (isChanged) this.publisher.schedule();
  }

  private logBlock(block: string, reason: BlockReason): void {
    const event = isRequestKey(block) ? 'request-blocked' : 'prompt-part-blocked';
    this.options.log.write(event, { block, reason });
    this.options.metrics.increment('quarantine.blocked', { reason });
  }

  /** Stores blocks that are not stored yet or due for renewal, on one VM and later on others. */
  private storeBlocks(): void {
    const { timer, self, listServing } = this.options;
    const now = timer.now();
    this.blocks.prune(now);
    this.blocks
      .list()
      .filter(({ id }) => !this.blockStore.isWriting(id))
      .filter((block) =>
        this.blockStore.isDue(block, () => rankOf(block.id, self, listServing()), now),
      )
      .forEach(({ id }) => {
        void this.store(id);
      });
  }

  /** Returns whether the block was stored. */
  private async store(id: string): Promise<boolean> {
    const { timer } = this.options;
    const began = this.readStart(id);
    const isStored = await this.blockStore.write(id, BlockState.Blocked, began);
    const renewedAt = began === undefined ? timer.now() : -Infinity;
    if (isStored && this.blocks.has(id)) this.blocks.recordStored(id, renewedAt);
    return isStored;
  }

  /** Returns undefined for a combination, whose block is renewed when it is stored. */
  private readStart(id: string): BlockStart | undefined {
    const block = this.blocks.get(id);
    if (block === undefined || !isRequestKey(id)) return undefined;
    const { timer } = this.options;
    const now = timer.now();
    const at = timer.wallClock() - (now - block.renewedAt);
    return { at, remainingMs: this.blocks.remainingMs(block, now) };
  }
}
