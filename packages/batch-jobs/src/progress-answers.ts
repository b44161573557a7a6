/** Owner's side of progress notices: judges the listed grants and tells executors to stop. */
import type { EntryVmIo, Membership } from '@jujubelanding/interfaces';
import {
  DatagramKind,
  type ListedGrant,
  type ProgressAnswer,
  type ProgressNotice,
  ProgressVerdict,
} from '@jujubelanding/peer-protocol';
import type { OpenJob } from './schedule.js';

/** Lists of executors that have been silent for this long are forgotten. */
const LIST_RETENTION_MS = 60_000;

export interface ProgressResponderOptions {
  io: Pick<EntryVmIo, 'timer' | 'network'>;
  membership: Membership;
  /** Extends a grant or returns `stop`; undefined when the shard is not ready here. */
  evaluateGrant: (executorId: string, grant: ListedGrant) => ProgressVerdict | undefined;
}

interface ReceivedList {
  list: number;
  grants: ListedGrant[];
  receivedAt: number;
}

export class ProgressResponder {
  /** The last list of each executor. */
  private readonly lists = new Map<string, ReceivedList>();

  constructor(private readonly options: ProgressResponderOptions) {}

  start(): void {
    this.options.io.network.handleDatagram(DatagramKind.ProgressNotice, (notice) =>
      this.handleNotice(notice),
    );
  }

  /** Tells the executors of a job to stop its chunks now. */
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
    const known = this.lists.get(from);
    if (grants === undefined && known?.list !== list) return undefined;
    const current = grants ?? known!.grants;
    this.lists.set(from, { list, grants: current, receivedAt: now });
    this.lists.forEach(({ receivedAt: heardAt }, executorId) => {
      if (now - heardAt > LIST_RETENTION_MS) this.lists.delete(executorId);
    });
    return current;
  }

  private evaluateGrants(
    executorId: string,
    grants: readonly ListedGrant[],
  ): Pick<ProgressAnswer, 'stopped' | 'unjudged'> {
    const verdicts = grants.map((grant) => this.options.evaluateGrant(executorId, grant));
    const list = (wanted: ProgressVerdict | undefined): number[] =>
      verdicts.flatMap((verdict, position) => (verdict === wanted ? [position] : []));
    const [stopped, unjudged] = [list(ProgressVerdict.Stop), list(undefined)];
    return {
      ...(stopped.length > 0 ? { stopped } : {}),
      ...(unjudged.length > 0 ? { unjudged } : {}),
    };
  }

  private send(executorId: string, datagram: Parameters<EntryVmIo['network']['send']>[1]): void {
    const executor = this.options.membership.find(executorId);
    // An executor that is not known here falls back to calls.
    if (executor !== undefined) this.options.io.network.send(executor.peerAddress, datagram);
  }
}
