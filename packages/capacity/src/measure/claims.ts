/** Cost of a claim for the claim owner against the claims on the page in writing. */
import { ClaimStorage, type ClaimEntry } from '@jujubelanding/claims';
import { computeChecksum, createRandom } from '@jujubelanding/random';
import { KeyValueState } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import type { KeyValueStore } from '@jujubelanding/platform';
import { ok } from 'neverthrow';
import { measureHeapBytes, readProcessorMs } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  type MeasureOptions,
  type Series,
} from '../series.js';

const CLAIMS_ON_PAGE = [50, 200, 500, 1000, 1500];
/** Commits at each size; few, because each adds a claim to the page. */
const COMMITS = 40;

interface CountingStore {
  store: KeyValueStore;
  counts: { writes: number; bytes: number };
}

const createStore = (seed: number): CountingStore => {
  const counts = { writes: 0, bytes: 0 };
  const state = new KeyValueState(new VirtualTimer(), createRandom(seed));
  const store = {
    get: async (key: string) => ok(state.get(key)),
    list: async (prefix: string, limit?: number, after?: string) =>
      ok(state.list(prefix, limit, after)),
    write: async (write: Parameters<KeyValueStore['write']>[0]) => {
      counts.writes += 1;
      counts.bytes += Buffer.byteLength(write.value);
      return state.write(write);
    },
  };
  return { store: store as Partial<KeyValueStore> as KeyValueStore, counts };
};

const createClaim = (index: number): ClaimEntry => ({
  claimId: computeChecksum(`claim-${index}`).slice(0, 32),
  digest: computeChecksum(`digest-${index}`),
  token: `${computeChecksum(`${index}`).slice(0, 16)}/entry-vm-0001/0123456789abcdef`,
  at: 1_767_225_600_000 + index,
});

interface ClaimCost {
  processorUs: number;
  bytes: number;
}

const measureClaim = async (onPage: number, seed: number): Promise<ClaimCost> => {
  const { store, counts } = createStore(seed);
  let next = 0;
  const storage = new ClaimStorage({
    store,
    shard: 1,
    fence: 1,
    retentionMs: 86_400_000,
    wallClock: () => 1_767_225_600_000,
    createId: () => 'aaaaaaaaaaaaaaaa',
    isValid: () => true,
  });
  await storage.load();
  const take = (count: number): ClaimEntry[] => {
    next += count;
    return Array.from({ length: count }, (_, index) => createClaim(next - count + index));
  };
  const first = take(onPage - COMMITS / 2);
  await storage.append(() => first);
  Object.assign(counts, { writes: 0, bytes: 0 });
  const claims = take(COMMITS);
  const start = readProcessorMs();
  for (const claim of claims) await storage.append(() => [claim]);
  const processorUs = ((readProcessorMs() - start) * 1000) / COMMITS;
  return { processorUs, bytes: counts.bytes / counts.writes };
};

const measureMedian = async (onPage: number, seed: number): Promise<ClaimCost> => {
  const costs: ClaimCost[] = [];
  for (let round = 0; round < 7; round += 1) costs.push(await measureClaim(onPage, seed));
  return costs.toSorted((a, b) => a.processorUs - b.processorUs)[3]!;
};

const measureHeap = (count: number): Promise<number> =>
  measureHeapBytes(() => {
    const entries = Array.from({ length: count }, (_, index) => createClaim(index));
    return new Map(entries.map((entry) => [entry.claimId, entry] as const));
  });

/** Measures a commit of one claim; a group of claims costs one commit. */
export const measureClaims = async ({ seed }: MeasureOptions): Promise<Series[]> => {
  const results = await measureEach(CLAIMS_ON_PAGE, (onPage) => measureMedian(onPage, seed));
  const heaps = await measureEach([1000, 3000, 10_000, 30_000], measureHeap);
  const header = { size: 'claims on the page', source: 'claims/src/claim-storage.ts' };
  return [
    createSeries(
      {
        ...header,
        id: 'claims.bytes',
        title: 'Claim owner: bytes written per commit',
        kind: Kind.Counted,
        unit: 'B',
      },
      pickPoints(results, ({ bytes }) => bytes),
    ),
    createSeries(
      {
        ...header,
        id: 'claims.processor',
        title: 'Claim owner: a commit',
        kind: Kind.Processor,
        unit: 'µs',
      },
      pickPoints(results, ({ processorUs }) => processorUs),
    ),
    createSeries(
      {
        id: 'claims.heap',
        title: 'Claim owner: heap of the claims in retention',
        kind: Kind.Memory,
        size: 'claims',
        unit: 'B',
        source: header.source,
      },
      pickPoints(heaps, (value) => value),
    ),
  ];
};
