/** Classifies key-value calls by purpose, from their method and key. */
import type { KeyValueClient } from '@jujubelanding/stand-ins';

export enum KeyValuePurpose {
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

export interface ClassifiedCall {
  purpose: KeyValuePurpose;
  isWrite: boolean;
  isWatch: boolean;
}

const WRITE_METHODS = new Set(['write', 'remove', 'grantLease', 'renewLease', 'revokeLease']);

type PurposeRule = readonly [
  matches: (method: string, key: string) => boolean,
  purpose: KeyValuePurpose,
];

/** The first matching rule applies. */
const PURPOSE_RULES: readonly PurposeRule[] = [
  [(method) => method === 'renewLease', KeyValuePurpose.LeaseRenewals],
  [
    (method) => method === 'grantLease' || method === 'revokeLease',
    KeyValuePurpose.ShardAcquisitions,
  ],
  [
    (method, key) => method === 'watch' && key.startsWith('records/'),
    KeyValuePurpose.RecordWatches,
  ],
  [(method, key) => method === 'watch' && key.startsWith('jobs/'), KeyValuePurpose.JobWatches],
  [(method, key) => method === 'list' && key.startsWith('shards/'), KeyValuePurpose.ShardAudits],
  [(_, key) => key.startsWith('shard'), KeyValuePurpose.ShardAcquisitions],
  [(method, key) => WRITE_METHODS.has(method) && key.startsWith('job'), KeyValuePurpose.JobWrites],
  [(_, key) => key.startsWith('job'), KeyValuePurpose.JobReads],
  [(_, key) => key.startsWith('claims/'), KeyValuePurpose.Claims],
  [(_, key) => key.startsWith('records/'), KeyValuePurpose.Records],
  [(_, key) => key.startsWith('history/'), KeyValuePurpose.History],
];

const getKey = (parameter: unknown): string => {
  if (typeof parameter === 'string') return parameter;
  const { key } = (parameter ?? {}) as { key?: string };
  return key ?? '';
};

export const classifyCall = (method: string, parameter: unknown): ClassifiedCall => {
  const key = getKey(parameter);
  const rule = PURPOSE_RULES.find(([matches]) => matches(method, key));
  return {
    purpose: rule?.[1] ?? KeyValuePurpose.Other,
    isWrite: WRITE_METHODS.has(method),
    isWatch: method === 'watch',
  };
};

export class PurposeCounters {
  readonly reads = new Map<KeyValuePurpose, number>();

  readonly writes = new Map<KeyValuePurpose, number>();

  pendingWatches = 0;

  reset(): void {
    this.reads.clear();
    this.writes.clear();
  }

  total(kind: 'reads' | 'writes'): number {
    return [...this[kind].values()].reduce((sum, count) => sum + count, 0);
  }

  /** Counts the calls of a client by replacing its methods. */
  instrument(client: KeyValueClient): void {
    const methods = client as unknown as Record<string, unknown>;
    for (const [name, method] of Object.entries(methods)) {
      if (typeof method !== 'function') continue;
      methods[name] = (...parameters: unknown[]) => {
        const call = classifyCall(name, parameters[0]);
        this.add(call);
        const reply = Reflect.apply(method, client, parameters) as Promise<unknown>;
        if (call.isWatch) this.trackWatch(reply);
        return reply;
      };
    }
  }

  private add({ purpose, isWrite }: ClassifiedCall): void {
    const counts = isWrite ? this.writes : this.reads;
    counts.set(purpose, (counts.get(purpose) ?? 0) + 1);
  }

  private trackWatch(reply: Promise<unknown>): void {
    this.pendingWatches += 1;
    void reply.finally(() => {
      this.pendingWatches -= 1;
    });
  }
}
