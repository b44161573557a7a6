import type { Fault, Reply } from '@jujubelanding/errors';
import type { Directory, EntryVmIo, Membership, Quarantine } from '@jujubelanding/interfaces';
import type { SharedValue } from '@jujubelanding/peer-protocol';
import {
  ChangeKind,
  CommitStatus,
  type CommitResult,
  type LeaseGrant,
  type Transaction,
} from '@jujubelanding/platform';
import { PromptQuarantine, type CutAnswer, type Probe } from '@jujubelanding/prompt-quarantine';
import { ValueExchanger } from '@jujubelanding/shared-values';
import type { Member } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import { checkWorker } from './worker-check.js';
import { WorkerCrashes } from './worker-crashes.js';

const EVIDENCE_PREFIX = 'quarantine/crash/';

const BLOCK_PREFIX = 'quarantine/blocked/';

const PROBE_PREFIX = 'quarantine/probe/';

/** Callers may send a request again after a long time, so the reports outlast their last change. */
const REPORT_LIFETIME_MS = 600_000;

/** Distinguishes the reports of two runs of a VM, whose versions both begin at one. */
const toRunId = ({ entryVmId, bootId }: Member): string => `${entryVmId}.${bootId}`;

export interface PeerQuarantineOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network' | 'createLog' | 'metrics' | 'backendServers'>;
  membership: Pick<Membership, 'self' | 'members'>;
  directory: Pick<Directory, 'find'>;
}

/** Implements `Quarantine` with values that the entry VMs share. */
export class PeerQuarantine implements Quarantine {
  private readonly crashes = new WorkerCrashes();

  private readonly exchanger: ValueExchanger;

  private readonly quarantine: PromptQuarantine;

  constructor(private readonly options: PeerQuarantineOptions) {
    const { io, membership } = options;
    const log = io.createLog('quarantine');
    this.exchanger = new ValueExchanger({
      io,
      log,
      membership,
      onValues: (values) => this.apply(values),
      onExpired: (keys) => this.applyExpiry(keys),
    });
    const lease = { current: String(REPORT_LIFETIME_MS), replace: () => {} };
    this.quarantine = new PromptQuarantine({
      ...io,
      log,
      store: {
        grantLease: (ttlMs) => this.grantLease(ttlMs),
        commit: (transaction) => this.commit(transaction),
      },
      lease: () => lease,
      evidencePrefix: EVIDENCE_PREFIX,
      blockPrefix: BLOCK_PREFIX,
      probePrefix: PROBE_PREFIX,
      self: toRunId(membership.self()),
      listServing: () => membership.members().map(toRunId),
      runIdOf: (workerId) => this.identifyCrash(workerId),
      // Reports reach the other VMs within milliseconds already.
      announce: () => {},
      checkRun: async (workerId) => {
        const worker = options.directory.find(workerId);
        return worker && checkWorker(io, worker);
      },
    });
  }

  start(): void {
    this.exchanger.start();
    this.quarantine.start();
  }

  stop(): void {
    this.quarantine.stop();
    this.exchanger.stop();
  }

  findBlock(parts: readonly string[], request: string): Fault | undefined {
    return this.quarantine.findBlock(parts, request);
  }

  takeProbe(parts: readonly string[]): Probe | undefined {
    return this.quarantine.takeProbe(parts);
  }

  recordAnswer(parts: readonly string[]): void {
    this.quarantine.recordAnswer(parts);
  }

  recordCompletion(request: string): void {
    this.quarantine.recordCompletion(request);
  }

  recordLoss(workerId: string, parts: readonly string[], request: string, sentAt: number): void {
    this.quarantine.recordLoss(workerId, parts, request, undefined, sentAt);
  }

  recordCut(workerId: string, request: string, cut: CutAnswer): void {
    this.quarantine.recordCut(workerId, request, cut);
  }

  private identifyCrash(workerId: string): string {
    const now = Math.round(this.options.io.timer.now());
    return this.crashes.identify(workerId, now, now);
  }

  /** Values expire by themselves, so the id of a lease is its time to live. */
  private async grantLease(ttlMs: number): Reply<LeaseGrant> {
    return ok({ leaseId: String(ttlMs), ttlMs });
  }

  /** The conditions hold for what this VM knows; two VMs that write at the same moment both succeed. */
  private async commit({ conditions, writes }: Transaction): Reply<CommitResult> {
    const isOutdated = conditions.some(
      ({ key, revision }) => this.exchanger.readVersion(key) !== revision,
    );
    if (isOutdated) return ok({ status: CommitStatus.Conflict, current: [] });
    const revisions = writes.map(({ key, value, leaseId }) =>
      this.exchanger.set(key, value, Number(leaseId)),
    );
    return ok({ status: CommitStatus.Committed, revision: Math.max(...revisions) });
  }

  private apply(values: readonly SharedValue[]): void {
    const now = this.options.io.timer.now();
    const changes = values.map(({ key, value, version, writtenAt, ageMs }) => {
      const isReport = key.startsWith(EVIDENCE_PREFIX);
      const own = isReport ? this.crashes.translate(value, now - ageMs - writtenAt, now) : value;
      return { kind: ChangeKind.Put, entry: { key, value: own, modRevision: version } };
    });
    this.quarantine.apply(changes);
  }

  private applyExpiry(keys: readonly string[]): void {
    const toChange = (key: string) => ({
      kind: ChangeKind.Delete,
      entry: { key, value: '', modRevision: 0 },
    });
    this.quarantine.apply(keys.map(toChange));
  }
}
