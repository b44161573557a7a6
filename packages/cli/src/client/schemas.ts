/** Schemas of the responses of entry VMs. */
import { ItemStatus, JobStatus, MemberState, RecordKind } from '@jujubelanding/types';
import * as z from 'zod';

export const SPEC_SCHEMA = z.record(z.string(), z.unknown());

/** A stored record with its revision. */
export const RECORD_SCHEMA = z.object({
  kind: z.enum(RecordKind),
  name: z.string().min(1),
  schemaVersion: z.number().int().positive(),
  spec: SPEC_SCHEMA,
  revision: z.number().int().nonnegative(),
});

export type StoredRecord = z.infer<typeof RECORD_SCHEMA>;

export const RECORD_LIST_SCHEMA = z.object({
  records: z.array(RECORD_SCHEMA),
  /** Stored records that do not match their schema. */
  invalid: z.array(z.object({ name: z.string(), revision: z.number() })).default([]),
});

const REVISION_SCHEMA = z.looseObject({
  revision: z.number(),
  author: z.string().optional(),
  /** Milliseconds since the epoch. */
  time: z.number().optional(),
  /** Absent, like the spec, if the revision is a deletion. */
  schemaVersion: z.number().optional(),
  spec: SPEC_SCHEMA.optional(),
});

export type RecordRevision = z.infer<typeof REVISION_SCHEMA>;

export const HISTORY_SCHEMA = z.object({ revisions: z.array(REVISION_SCHEMA) });

export const ENTRY_VM_STATUS_SCHEMA = z.object({
  entryVmId: z.string(),
  availabilityZone: z.string(),
  state: z.enum(MemberState),
  heldRevision: z.number(),
  activeRevision: z.number(),
});

export const FLEET_STATUS_SCHEMA = z.looseObject({
  acceptedRevision: z.number(),
  inForceEverywhere: z.boolean(),
  /** ISO 8601 time since which `inForceEverywhere` has its value. */
  since: z.string().optional(),
  /** Records that an entry VM cannot use. */
  invalidRecords: z.array(z.unknown()).default([]),
  entryVms: z.array(ENTRY_VM_STATUS_SCHEMA),
});

export type FleetStatus = z.infer<typeof FLEET_STATUS_SCHEMA>;

export const BATCH_JOB_SCHEMA = z.looseObject({
  id: z.string(),
  status: z.enum(JobStatus),
  model: z.string().optional(),
  itemCount: z.number(),
  completedItems: z.number(),
  failedItems: z.number(),
  /** Timestamps are ISO 8601 strings. */
  createdAt: z.string(),
  dueAt: z.string(),
  endedAt: z.string().optional(),
});

export type BatchJob = z.infer<typeof BATCH_JOB_SCHEMA>;

/** Response to a submission; `resent` is set if the key was used before and its job is returned. */
export const SUBMITTED_JOB_SCHEMA = BATCH_JOB_SCHEMA.extend({ resent: z.boolean().optional() });

export type SubmittedJob = z.infer<typeof SUBMITTED_JOB_SCHEMA>;

export const BATCH_JOB_LIST_SCHEMA = z.object({ jobs: z.array(BATCH_JOB_SCHEMA) });

export const ITEM_RESULT_SCHEMA = z.looseObject({
  index: z.number().int().nonnegative(),
  itemId: z.string(),
  status: z.enum(ItemStatus),
});

export const ENTRY_POINTS_SCHEMA = z.object({
  entryPoints: z.array(z.object({ address: z.string(), availabilityZone: z.string() })),
  lifetimeMs: z.number(),
});
