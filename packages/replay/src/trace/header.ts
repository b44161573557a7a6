/** Header of a trace: the deployment on which it runs. */
import { FencingMode, RecordKind, ServiceKind } from '@jujubelanding/types';
import * as z from 'zod';

/** Version of the format that this package reads. */
export const FORMAT_VERSION = 1;

export enum TraceSource {
  Hand = 'hand',
  Generator = 'generator',
}

const nameSchema = z.string().min(1).max(100);
const durationSchema = z.number().min(0);
const countSchema = z.int().min(1).max(1000);

const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(ServiceKind),
  workers: countSchema,
  slots: countSchema,
  fencing: z.enum(FencingMode),
  /** Models that the engines have loaded initially. */
  models: z.array(nameSchema).default([]),
  stepBaseMs: durationSchema.optional(),
  stepPerStreamMs: durationSchema.optional(),
});

const recordSchema = z.strictObject({
  kind: z.enum(RecordKind),
  name: nameSchema,
  schemaVersion: z.int().min(1),
  spec: z.record(z.string(), z.unknown()),
});

export const headerSchema = z.strictObject({
  format: z.literal(FORMAT_VERSION),
  name: z.string().regex(/^[a-z0-9][a-z0-9-]*$/),
  source: z.enum(TraceSource),
  description: z.string().min(1),
  seed: z.int().min(0),
  region: nameSchema,
  availabilityZones: z.array(nameSchema).min(1),
  localDelayMs: durationSchema,
  remoteDelayMs: durationSchema,
  callerDelayMs: durationSchema,
  vmListLagMs: durationSchema,
  /** Latency to and from the key-value service: a floor plus an exponentially distributed extra. */
  keyValueLatency: z.strictObject({ floorMs: durationSchema, meanExtraMs: durationSchema }),
  entryVms: z.strictObject({ count: countSchema, disks: z.int().min(0) }),
  /** Time for which callers cache the list of entry points; also the first phase of a planned stop. */
  entryPointLifetimeMs: durationSchema.default(5000),
  services: z.array(serviceSchema).min(1),
  records: z.array(recordSchema),
  teamKey: z.string().min(1),
  /** Duration of the trace; expectations are checked after it. */
  durationMs: durationSchema,
});

export type Header = z.infer<typeof headerSchema>;

export type ServiceSpec = z.infer<typeof serviceSchema>;

/** Lists the ids of the entry VMs of a deployment. */
export const listEntryVms = ({ entryVms }: Header): string[] =>
  Array.from({ length: entryVms.count }, (_, index) => `entry-${index}`);

/** Lists the ids of the workers of a service. */
export const listWorkers = (service: ServiceSpec): string[] =>
  Array.from({ length: service.workers }, (_, index) => `${service.name}-${index + 1}`);
