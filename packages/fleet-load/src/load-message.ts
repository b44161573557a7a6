/** Messages about load between entry VMs. Due times are epoch milliseconds. */
import * as z from 'zod';
import { resultsSchema } from './shared-results.js';

export enum MessageKind {
  /** From a VM to the collector of its group. */
  Report = 'report',
  /** From a collector to the collectors of the other groups. */
  Totals = 'totals',
  /** From a collector to the VMs of its group. */
  View = 'view',
  /** From the planner to a VM with batch items. */
  Plan = 'plan',
  /** From a VM to all others: online requests that it has lost at workers that crashed. */
  Losses = 'losses',
  /** From a VM to the owner of teams: the requests of these teams on the VM. */
  Usage = 'usage',
  /** From the owner of teams to a VM: its shares of the limits of these teams. */
  Shares = 'shares',
}

/** Worker id, and the online requests and batch items in progress on it. */
const workerCountSchema = z.tuple([z.string(), z.number(), z.number()]);

/** A batch item in progress: run id, worker id and due time. */
const batchRunSchema = z.tuple([z.string(), z.string(), z.number()]);

/** Number of a service's batch items with the same due time that wait for a worker. */
const waitingSchema = z.tuple([z.string(), z.number(), z.number()]);

/** Batch work of one VM. */
const batchWorkSchema = z.object({
  runs: z.array(batchRunSchema),
  waiting: z.array(waitingSchema),
  /** Workers that did not run the batch items of this VM, and get none from it for a while. */
  avoided: z.array(z.string()),
});

const departureSchema = z.object({
  entryVmId: z.string(),
  bootId: z.string(),
  /** Time since the planned stop began, in milliseconds. */
  leavingForMs: z.number(),
  /** Time at which it began on the clock of that VM, in epoch milliseconds. */
  stoppedAt: z.number(),
  /** True once the VM accepts no connections. */
  isClosed: z.boolean(),
});

const reportSchema = z.object({
  kind: z.literal(MessageKind.Report),
  entryVmId: z.string(),
  /** Unique to each run of a daemon. */
  bootId: z.string(),
  sequence: z.number(),
  /** True once a planned stop has begun. */
  isLeaving: z.boolean(),
  /** Departure of this VM, once a planned stop has begun. */
  departure: departureSchema.optional(),
  /** True in the last report to a collector, when the VM has chosen another one. */
  isDetaching: z.boolean(),
  /** True if an online request may have to wait for a batch item. */
  isUrgent: z.boolean(),
  /** Workers without work are omitted. */
  workers: z.array(workerCountSchema),
  batch: batchWorkSchema,
  /** Results of the requests of this VM, if it compares workers by them. */
  results: resultsSchema.optional(),
});

/** Entry VM id and boot id of a VM that is leaving. */
const leavingSchema = z.tuple([z.string(), z.string()]);

const totalsSchema = z.object({
  kind: z.literal(MessageKind.Totals),
  collectorId: z.string(),
  bootId: z.string(),
  sequence: z.number(),
  isUrgent: z.boolean(),
  /** Sums over the VMs of the group. */
  workers: z.array(workerCountSchema),
  /** Live VMs of the group; in some messages only. */
  members: z.array(z.string()).optional(),
  leaving: z.array(leavingSchema),
  /** More about the VMs of `leaving`. */
  departures: z.array(departureSchema).optional(),
  /** Collectors that the sender hears from. */
  collectors: z.array(z.string()),
  /** Batch work by VM; only in messages to the planner. */
  batch: z.array(z.tuple([z.string(), batchWorkSchema])).optional(),
  /** Sums over the VMs of the group. */
  results: resultsSchema.optional(),
});

const viewSchema = z.object({
  kind: z.literal(MessageKind.View),
  collectorId: z.string(),
  bootId: z.string(),
  sequence: z.number(),
  /** Sums over the fleet. */
  workers: z.array(workerCountSchema),
  /** Sequence of the last report of each VM of the group that the sums include. */
  reported: z.array(z.tuple([z.string(), z.number()])),
  /** All live VMs; in some messages only. */
  alive: z.array(z.string()).optional(),
  leaving: z.array(leavingSchema),
  /** As in totals. */
  departures: z.array(departureSchema).optional(),
  /** Sums over the fleet. */
  results: resultsSchema.optional(),
});

const planSchema = z.object({
  kind: z.literal(MessageKind.Plan),
  plannerId: z.string(),
  bootId: z.string(),
  sequence: z.number(),
  /** Slots granted to this VM: run id of the item that is started there, worker id and service. */
  starts: z.array(z.tuple([z.string(), z.string(), z.string()])),
  /** Run ids of the items that this VM preempts. */
  cuts: z.array(z.string()),
});

/** Key of a request, and the id of the crash at which it was lost. */
const requestLossSchema = z.tuple([z.string(), z.string()]);

const lossesSchema = z.object({
  kind: z.literal(MessageKind.Losses),
  lost: z.array(requestLossSchema),
  /** Losses that may be crashes; their sender has yet to find out. VMs of earlier versions ignore them. */
  suspected: z.array(requestLossSchema).optional(),
});

const usageSchema = z.object({
  kind: z.literal(MessageKind.Usage),
  from: z.string(),
  /** Unique to each run of the sender. */
  run: z.number(),
  sequence: z.number(),
  /** True if the receiver is asked because the owner does not answer. */
  isSubstitute: z.boolean().optional(),
  /** Age of the run of the sender, if it knows of none that is older than the window of the limits. */
  youngMs: z.number().optional(),
  /** True in a message of a VM that has just started. */
  isGreeting: z.boolean().optional(),
  /** Percentages of the requests of the teams that the sender admits, in a young fleet. */
  percentages: z.array(z.number()).optional(),
  /** Totals of the requests of the teams whose tokens were returned. */
  returned: z.array(z.number()).optional(),
  /** Team, and totals of admitted, confirmed and refused requests. */
  teams: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
});

const sharesSchema = z.object({
  kind: z.literal(MessageKind.Shares),
  from: z.string(),
  /** Run of the receiver whose report is answered. */
  run: z.number().optional(),
  /** As in usage. */
  youngMs: z.number().optional(),
  /** Team, confirmed requests, admitted fraction, allowance, and its growth per second. */
  teams: z.array(z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()])),
});

export const messageSchema = z.discriminatedUnion('kind', [
  reportSchema,
  totalsSchema,
  viewSchema,
  planSchema,
  lossesSchema,
  usageSchema,
  sharesSchema,
]);

export type DepartureMessage = z.infer<typeof departureSchema>;
export type WorkerCount = z.infer<typeof workerCountSchema>;
export type BatchRun = z.infer<typeof batchRunSchema>;
export type WaitingCount = z.infer<typeof waitingSchema>;
export type BatchWork = z.infer<typeof batchWorkSchema>;
export type Report = z.infer<typeof reportSchema>;
export type Totals = z.infer<typeof totalsSchema>;
export type View = z.infer<typeof viewSchema>;
export type Plan = z.infer<typeof planSchema>;
export type RequestLoss = z.infer<typeof requestLossSchema>;
/** Messages about the limits of teams; undecoded here. */
export type LimitMessage = z.infer<typeof usageSchema> | z.infer<typeof sharesSchema>;
export type LoadMessage = z.infer<typeof messageSchema>;
