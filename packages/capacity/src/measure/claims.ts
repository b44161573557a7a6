/** Measures the cost of a claim for the claim owner by the number of claims on the current page. */
import { ClaimOwner, ClaimStorage, type ClaimEntry } from '@jujubelanding/claims';
import { silentLog } from '@jujubelanding/log';
import { computeChecksum, createRandom, type Random } from '@jujubelanding/random';
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
  type MeasurementOptions,
  type Series,
} from '../series.js';

const CLAIMS_ON_PAGE = [25, 50, 100, 200];
/** Commits per size; few, because each one adds a claim to the page. */
const COMMIT_COUNT = 40;

interface CountingStore {
  store: KeyValueStore;
  counts: { writes: number; bytes: number };
}

const createCountingStore = (seed: number): CountingStore => {
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
  token: computeChecksum(`${index}`).slice(0, 16),
  at: 1_767_225_600_000 + index,
});

interface ClaimCost {
  processorUs: number;
  bytes: number;
}

const measureClaim = async (claimsOnPage: number, seed: number): Promise<ClaimCost> => {
  const { store, counts } = createCountingStore(seed);
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
  const createNextClaims = (count: number): ClaimEntry[] => {
    next += count;
    return Array.from({ length: count }, (_, index) => createClaim(next - count + index));
  };
  // The page has `claimsOnPage` claims in the middle of the measured commits.
  const first = createNextClaims(claimsOnPage - COMMIT_COUNT / 2);
  await storage.append(() => first);
  Object.assign(counts, { writes: 0, bytes: 0 });
  const claims = createNextClaims(COMMIT_COUNT);
  const start = readProcessorMs();
  for (const claim of claims) await storage.append(() => [claim]);
  const processorUs = ((readProcessorMs() - start) * 1000) / COMMIT_COUNT;
  return { processorUs, bytes: counts.bytes / counts.writes };
};

const measureMedianClaim = async (claimsOnPage: number, seed: number): Promise<ClaimCost> => {
  const costs: ClaimCost[] = [];
  for (let round = 0; round < 7; round += 1) costs.push(await measureClaim(claimsOnPage, seed));
  return costs.toSorted((a, b) => a.processorUs - b.processorUs)[3]!;
};

const measureClaimHeap = (count: number): Promise<number> =>
  measureHeapBytes(() => {
    const entries = Array.from({ length: count }, (_, index) => createClaim(index));
    return new Map(entries.map((entry) => [entry.claimId, entry] as const));
  });

const CLAIMS_PER_SECOND = [0.4, 1.3, 5, 20, 100];
const GROUPING_DURATION_MS = 120_000;
const STORE_WRITE_MS = 5;

interface GroupingResult {
  writesPerSecond: number;
  meanAnswerMs: number;
}

const createOwner = (store: KeyValueStore, timer: VirtualTimer, random: Random): ClaimOwner =>
  new ClaimOwner({
    store,
    shard: 1,
    fence: 1,
    retentionMs: 86_400_000,
    wallClock: () => timer.wallClock(),
    createId: () => random.createId(),
    isValid: () => true,
    timer,
    random,
    log: silentLog,
  });

/** Sends claims of one shard at random times, with a store that replies after 5 ms. */
const measureGrouping = async (perSecond: number, seed: number): Promise<GroupingResult> => {
  const timer = new VirtualTimer();
  const random = createRandom(seed);
  const { store, counts } = createCountingStore(seed);
  const delayed: KeyValueStore = {
    ...store,
    write: async (write) => {
      await timer.sleep(STORE_WRITE_MS);
      return store.write(write);
    },
  };
  const owner = createOwner(delayed, timer, random);
  let [answerCount, waitedMs] = [0, 0];
  const sendClaim = (index: number): void => {
    const { claimId, digest, token } = createClaim(index);
    const startedAt = timer.now();
    void owner.claim({ shard: 1, claimId, digest, requestId: token }).then(() => {
      answerCount += 1;
      waitedMs += timer.now() - startedAt;
    });
    timer.after((-1000 / perSecond) * Math.log(1 - random.next()), () => sendClaim(index + 1));
  };
  sendClaim(0);
  await timer.advance(GROUPING_DURATION_MS);
  return {
    writesPerSecond: counts.writes / (GROUPING_DURATION_MS / 1000),
    meanAnswerMs: waitedMs / answerCount,
  };
};

const createHeader = (id: string, title: string, kind: Kind, unit: string) => ({
  id,
  title,
  kind,
  unit,
  size: 'claims on the page',
  source: 'claims/src/claim-storage.ts',
});

const createOwnerHeader = (id: string, title: string, unit: string) => ({
  ...createHeader(id, title, Kind.Counted, unit),
  size: 'claims per second',
  source: 'claims/src/claim-owner.ts',
});

/**
 * Measures a commit of one claim, which costs as much as a commit of a group, and the grouping of
 * claims.
 */
export const measureClaims = async ({ seed }: MeasurementOptions): Promise<Series[]> => {
  const commits = await measureEach(CLAIMS_ON_PAGE, (onPage) => measureMedianClaim(onPage, seed));
  const groupings = await measureEach(CLAIMS_PER_SECOND, (rate) => measureGrouping(rate, seed));
  const heaps = await measureEach([1000, 3000, 10_000, 30_000], measureClaimHeap);
  return [
    createSeries(
      createHeader('claims.bytes', 'Claim owner: bytes written per commit', Kind.Counted, 'B'),
      pickPoints(commits, ({ bytes }) => bytes),
    ),
    createSeries(
      createHeader('claims.processor', 'Claim owner: a commit', Kind.Processor, 'µs'),
      pickPoints(commits, ({ processorUs }) => processorUs),
    ),
    createSeries(
      createOwnerHeader('claims.writes', 'Claim owner: key-value writes of one shard', '1/s'),
      pickPoints(groupings, ({ writesPerSecond }) => writesPerSecond),
    ),
    createSeries(
      createOwnerHeader(
        'claims.answer',
        'Claim owner: mean time to the answer, writes of 5 ms',
        'ms',
      ),
      pickPoints(groupings, ({ meanAnswerMs }) => meanAnswerMs),
    ),
    createSeries(
      {
        ...createHeader(
          'claims.heap',
          'Claim owner: heap of claims in retention',
          Kind.Memory,
          'B',
        ),
        size: 'claims',
      },
      pickPoints(heaps, (value) => value),
    ),
  ];
};
