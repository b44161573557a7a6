/** Batch jobs, their ledgers and results. */
import * as z from 'zod';

export const SCHEMA_VERSION = 1;

/** The request by which a worker runs an item. */
const itemRequestSchema = z.object({
  /** Path with query. */
  target: z.string(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Base64. */
  body: z.string(),
});

/** An item in the record that every VM follows. Its request is stored apart, as it is much larger. */
const itemSchema = z.object({
  id: z.string(),
  /** Sum of the prompt tokens and the maximum number of output tokens. */
  tokens: z.number(),
  // Records of earlier versions contain the request.
  ...itemRequestSchema.partial().shape,
});

const itemRequestsSchema = z.object({
  schemaVersion: z.literal(SCHEMA_VERSION),
  /** In the order of the job's items. */
  requests: z.array(itemRequestSchema),
});

const jobSchema = z.object({
  schemaVersion: z.literal(SCHEMA_VERSION),
  id: z.string(),
  host: z.string(),
  /** Path of the submission; the route that matches it determines the service. */
  target: z.string(),
  /** Epoch milliseconds. */
  submittedAt: z.number(),
  /** Time after the submission at which all results are due, in milliseconds. */
  dueMs: z.number(),
  /** Time after the submission after which unfinished items may be given up, in milliseconds. */
  itemLifetimeMs: z.number(),
  /** Number of failed runs after which an item is given up. */
  maxAttempts: z.number(),
  items: z.array(itemSchema),
  /** Version of the configuration under which the job was accepted; absent in earlier records. */
  configurationVersion: z.number().optional(),
  /** Name of the team whose callers may read and end the job; absent without teams. */
  team: z.string().optional(),
  /** Identifies the route, and the team if there is one, for the limit on waiting tokens. */
  quotaId: z.string().optional(),
  /** True if the counter of the route includes the tokens of this job. */
  isCounted: z.boolean().optional(),
});

export type JobItem = z.infer<typeof itemSchema>;

export type ItemRequest = z.infer<typeof itemRequestSchema>;

export type Job = z.infer<typeof jobSchema>;

/** A job with the requests of its items. */
export interface SubmittedJob extends Omit<Job, 'items'> {
  items: (JobItem & ItemRequest)[];
}

export enum ItemState {
  Completed = 'completed',
  GivenUp = 'given-up',
}

const ledgerSchema = z.object({
  schemaVersion: z.literal(SCHEMA_VERSION),
  /** True once the caller has ended the job. */
  isEnded: z.boolean(),
  /** Index and state of each item that has a result, in the order in which results were appended. */
  results: z.array(z.tuple([z.number(), z.enum(ItemState)])),
});

export type Ledger = z.infer<typeof ledgerSchema>;

export const EMPTY_LEDGER: Ledger = { schemaVersion: SCHEMA_VERSION, isEnded: false, results: [] };

const ownershipSchema = z.object({ entryVmId: z.string(), bootId: z.string() });

/** Identifies the process of an entry VM that executes a job. */
export type Ownership = z.infer<typeof ownershipSchema>;

export const decodeWith =
  <T>(schema: z.ZodType<T>) =>
  (value: string): T | undefined => {
    try {
      return schema.safeParse(JSON.parse(value)).data;
    } catch {
      return undefined;
    }
  };

export const decodeJob = decodeWith<Job>(jobSchema);
export const decodeLedger = decodeWith<Ledger>(ledgerSchema);
export const decodeOwnership = decodeWith<Ownership>(ownershipSchema);

const decodeStoredRequests = decodeWith<z.infer<typeof itemRequestsSchema>>(itemRequestsSchema);

export const decodeRequests = (value: string): ItemRequest[] | undefined =>
  decodeStoredRequests(value)?.requests;

export const encodeRequests = (requests: readonly ItemRequest[]): string =>
  JSON.stringify({ schemaVersion: SCHEMA_VERSION, requests });

/** Returns the record of a job, which does not contain the requests of its items. */
export const toRecord = (job: SubmittedJob): Job => ({
  ...job,
  items: job.items.map(({ id, tokens }) => ({ id, tokens })),
});

/** Returns the requests of a job's items. */
export const listRequests = ({ items }: SubmittedJob): ItemRequest[] =>
  items.map(({ target, headers, body }) => ({ target, headers, body }));

export const encode = (value: Job | Ledger | Ownership): string => JSON.stringify(value);

/** True if no item of the job has to run anymore. */
export const isFinished = (job: Job, ledger: Ledger): boolean =>
  ledger.isEnded || ledger.results.length >= job.items.length;
