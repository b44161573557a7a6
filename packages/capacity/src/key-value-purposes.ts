/** Key-value calls by purpose, told from the method and the key. */
import type { KeyValueClient } from '@jujubelanding/stand-ins';

export enum Purpose {
  LeaseRenewals = 'leaseRenewals',
  ShardAcquisitions = 'shardAcquisitions',
  ShardAudits = 'shardAudits',
  RecordWatches = 'recordWatches',
  JobWatches = 'jobWatches',
  JobWrites = 'jobWrites',
  JobReads = 'jobReads',
  Claims = 'claims',
  Records = 'records',
  History = 'history',
  Other = 'other',
}

export interface Call {
  purpose: Purpose;
  isWrite: boolean;
  isWatch: boolean;
}

const WRITES = new Set(['write', 'remove', 'grantLease', 'renewLease', 'revokeLease']);

type Rule = readonly [matches: (method: string, key: string) => boolean, purpose: Purpose];

/** The first rule that matches decides. */
const RULES: readonly Rule[] = [
  [(method) => method === 'renewLease', Purpose.LeaseRenewals],
  [(method) => method === 'grantLease' || method === 'revokeLease', Purpose.ShardAcquisitions],
  [(method, key) => method === 'watch' && key.startsWith('records/'), Purpose.RecordWatches],
  [(method, key) => method === 'watch' && key.startsWith('jobs/'), Purpose.JobWatches],
  [(method, key) => method === 'list' && key.startsWith('shards/'), Purpose.ShardAudits],
  [(_, key) => key.startsWith('shard'), Purpose.ShardAcquisitions],
  [(method, key) => WRITES.has(method) && key.startsWith('job'), Purpose.JobWrites],
  [(_, key) => key.startsWith('job'), Purpose.JobReads],
  [(_, key) => key.startsWith('claims/'), Purpose.Claims],
  [(_, key) => key.startsWith('records/'), Purpose.Records],
  [(_, key) => key.startsWith('history/'), Purpose.History],
];

const keyOf = (parameter: unknown): string => {
  if (typeof parameter === 'string') return parameter;
  const { key } = (parameter ?? {}) as { key?: string };
  return key ?? '';
};

export const classifyCall = (method: string, parameter: unknown): Call => {
  const key = keyOf(parameter);
  const rule = RULES.find(([matches]) => matches(method, key));
  return {
    purpose: rule?.[1] ?? Purpose.Other,
    isWrite: WRITES.has(method),
    isWatch: method === 'watch',
  };
};

export class PurposeCounters {
  readonly reads = new Map<Purpose, number>();

  readonly writes = new Map<Purpose, number>();

  pendingWatches = 0;

  reset(): void {
    this.reads.clear();
    this.writes.clear();
  }

  total(kind: 'reads' | 'writes'): number {
    return [...this[kind].values()].reduce((sum, count) => sum + count, 0);
  }

  /** Counts the calls of a client; the client itself is changed. */
  observe(client: KeyValueClient): void {
    const methods = client as unknown as Record<string, unknown>;
    for (const [name, method] of Object.entries(methods)) {
      if (typeof method !== 'function') continue;
      methods[name] = (...parameters: unknown[]) => {
        const call = classifyCall(name, parameters[0]);
        this.add(call);
        const reply = Reflect.apply(method, client, parameters) as Promise<unknown>;
        if (call.isWatch) this.followWatch(reply);
        return reply;
      };
    }
  }

  private add({ purpose, isWrite }: Call): void {
    const counts = isWrite ? this.writes : this.reads;
    counts.set(purpose, (counts.get(purpose) ?? 0) + 1);
  }

  private followWatch(reply: Promise<unknown>): void {
    this.pendingWatches += 1;
    void reply.finally(() => {
      this.pendingWatches -= 1;
    });
  }
}
