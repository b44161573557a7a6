/** Answers the progress notices that executors send to a job owner, and notifies executors of stops. */
import type { EntryVmIo, Membership } from '@jujubelanding/interfaces';
import {
  DatagramKind,
  type ListedGrant,
  type ProgressAnswer,
  type ProgressNotice,
  ProgressDecision,
} from '@jujubelanding/peer-protocol';
import type { OpenJob } from './schedule.js';

/** Lists of executors that have sent no notice for this long are discarded. */
const LIST_RETENTION_MS = 60_000;

export interface ProgressResponderOptions {
  io: Pick<EntryVmIo, 'timer' | 'network'>;
  membership: Membership;
  /** Extends or stops a grant; undefined when this VM does not own its shard or has not loaded it. */
  evaluateGrant: (executorId: string, grant: ListedGrant) => ProgressDecision | undefined;
}

interface ReceivedList {
  list: number;
  grants: ListedGrant[];
  receivedAt: number;
}

export class ProgressResponder {
  /** Last received list of grants, by executor. */
  private readonly lists = new Map<string, ReceivedList>();

  constructor(private readonly options: ProgressResponderOptions) {}

  start(): void {
    this.options.io.network.handleDatagram(DatagramKind.ProgressNotice, (notice) =>
      this.handleNotice(notice),
    );
  }

  /** Sends a stop at once to each executor that has a valid grant of the job. */
  stopJob(job: OpenJob): void {
    const now = this.options.io.timer.now();
    const byExecutor = new Map<string, string[]>();
    job.grants.forEach(({ executorId, grantId, deadline }) => {
      if (deadline <= now) return;
      byExecutor.set(executorId, [...(byExecutor.get(executorId) ?? []), grantId]);
    });
    const from = this.options.membership.self().entryVmId;
    byExecutor.forEach((grantIds, executorId) => {
      this.send(executorId, { kind: DatagramKind.GrantStop, from, grantIds });
    });
  }

  private handleNotice(notice: ProgressNotice): void {
    const { from, sequence } = notice;
    const grants = this.resolveGrants(notice);
    this.send(from, {
      kind: DatagramKind.ProgressAnswer,
      from: this.options.membership.self().entryVmId,
      sequence,
      ...(grants === undefined ? { isListMissing: true } : this.evaluateGrants(from, grants)),
    });
  }

  private resolveGrants({ from, list, grants }: ProgressNotice): ListedGrant[] | undefined {
    const now = this.options.io.timer.now();
    const previous = this.lists.get(from);
    if (grants === undefined && previous?.list !== list) return undefined;
    const current = grants ?? previous!.grants;
    this.lists.set(from, { list, grants: current, receivedAt: now });
    this.lists.forEach(({ receivedAt }, executorId) => {
      if (now - receivedAt > LIST_RETENTION_MS) this.lists.delete(executorId);
    });
    return current;
  }

  private evaluateGrants(
    executorId: string,
    grants: readonly ListedGrant[],
  ): Pick<ProgressAnswer, 'stopped' | 'unjudged'> {
    const decisions = grants.map((grant) => this.options.evaluateGrant(executorId, grant));
    const findPositions = (expected: ProgressDecision | undefined): number[] =>
      decisions.flatMap((decision, position) => (decision === expected ? [position] : []));
    const [stopped, unjudged] = [findPositions(ProgressDecision.Stop), findPositions(undefined)];
    return {
      ...(stopped.length > 0 ? { stopped } : {}),
      ...(unjudged.length > 0 ? { unjudged } : {}),
    };
  }

  private send(executorId: string, datagram: Parameters<EntryVmIo['network']['send']>[1]): void {
    const executor = this.options.membership.find(executorId);
    // An executor that is unknown to this VM gets no answer and falls back to calls.
    if (executor !== undefined) this.options.io.network.send(executor.peerAddress, datagram);
  }
}
