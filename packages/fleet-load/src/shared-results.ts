/** Results of requests in load messages, by which entry VMs compare the workers of a service. */
import type { ResultCount, ResultCounts } from '@jujubelanding/interfaces';
import * as z from 'zod';

/** Maximum number of workers in a message; those with the most failures are kept. */
const MAX_WORKERS = 64;

const MAX_SERVICES = 32;

/** Counts are sent in hundredths, as small integers. */
const UNITS_PER_RESULT = 100;

/** Failures below this are left out of the sums over the fleet, so that workers without new ones drop out. */
const MIN_FLEET_FAILURES = 0.05;

/** Id of a worker or service, and its successes and failures in hundredths. */
const resultCountSchema = z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()]);

export const resultsSchema = z.object({
  workers: z.array(resultCountSchema),
  services: z.array(resultCountSchema),
});

export type ResultsMessage = z.infer<typeof resultsSchema>;

const byFailures = (a: ResultCount, b: ResultCount): number => b[2] - a[2];

const sumLists = (lists: readonly ResultCount[][]): ResultCount[] => {
  const sums = new Map<string, ResultCount>();
  for (const [id, successes, failures] of lists.flat()) {
    const [, sumOfSuccesses, sumOfFailures] = sums.get(id) ?? [id, 0, 0];
    sums.set(id, [id, sumOfSuccesses + successes, sumOfFailures + failures]);
  }
  return [...sums.values()];
};

export const sumResults = (all: readonly ResultCounts[]): ResultCounts => ({
  workers: sumLists(all.map(({ workers }) => workers)),
  services: sumLists(all.map(({ services }) => services)),
});

/** Removes the workers without failures, which VMs send only while the sums contain the worker. */
export const selectFailing = ({ workers, services }: ResultCounts): ResultCounts => ({
  workers: workers.filter(([, , failures]) => failures >= MIN_FLEET_FAILURES),
  services,
});

const scale = (counts: readonly ResultCount[], factor: number): ResultCount[] =>
  counts.map(([id, successes, failures]) => [id, successes * factor, failures * factor]);

const encodeCounts = (counts: readonly ResultCount[], maximum: number): ResultCount[] =>
  scale(counts.toSorted(byFailures).slice(0, maximum), UNITS_PER_RESULT).map(
    ([id, successes, failures]) => [id, Math.round(successes), Math.round(failures)],
  );

/** Returns the field of a message; none if there are no results, as in a fleet that shares none. */
export const encodeResults = ({
  workers,
  services,
}: ResultCounts): { results?: ResultsMessage } => {
  if (services.length === 0) return {};
  return {
    results: {
      workers: encodeCounts(workers, MAX_WORKERS),
      services: encodeCounts(services, MAX_SERVICES),
    },
  };
};

export const decodeResults = (message: ResultsMessage | undefined): ResultCounts => ({
  workers: scale(message?.workers ?? [], 1 / UNITS_PER_RESULT),
  services: scale(message?.services ?? [], 1 / UNITS_PER_RESULT),
});
