/** Schemas of call inputs. Unknown fields are allowed, so that newer entry VMs can add fields. */
import { PeerMethod, type PeerCalls } from '@jujubelanding/peer-protocol';
import * as z from 'zod';

const segmentSchema = z.looseObject({
  id: z.string().min(1),
  bytes: z.number(),
  copies: z.array(z.string()),
});

const recordSchema = z.looseObject({
  kind: z.string(),
  name: z.string(),
  revision: z.number(),
  value: z.string(),
});

const sharedValueSchema = z.looseObject({
  key: z.string(),
  value: z.string(),
  version: z.number(),
  writer: z.string(),
  writtenAt: z.number(),
  ageMs: z.number(),
  remainingMs: z.number(),
});

const shardSchema = z.number().int().min(0);

type InputSchemas = { [M in PeerMethod]: z.ZodType<PeerCalls[M]['input']> };

export const INPUT_SCHEMAS: InputSchemas = {
  [PeerMethod.PullConfiguration]: z.looseObject({ afterRevision: z.number() }),
  [PeerMethod.PushConfiguration]: z.looseObject({
    afterRevision: z.number(),
    revision: z.number(),
    records: z.array(recordSchema),
  }),
  [PeerMethod.RequestChunk]: z.looseObject({
    shard: shardSchema,
    executorId: z.string(),
    models: z.array(z.string()),
    slots: z.number(),
  }),
  [PeerMethod.ReportProgress]: z.looseObject({
    shard: shardSchema,
    executorId: z.string(),
    grants: z.array(z.looseObject({ jobId: z.string(), chunk: z.number(), grantId: z.string() })),
  }),
  [PeerMethod.CompleteChunk]: z.looseObject({
    shard: shardSchema,
    jobId: z.string(),
    chunk: z.number(),
    grantId: z.string(),
    result: segmentSchema,
    failedItems: z.number(),
  }),
  [PeerMethod.NotifyJobChanged]: z.looseObject({ shard: shardSchema, jobId: z.string() }),
  [PeerMethod.Claim]: z.looseObject({
    shard: shardSchema,
    claimId: z.string(),
    digest: z.string(),
    requestId: z.string(),
  }),
  [PeerMethod.StoreCopy]: z.looseObject({
    segmentId: z.string(),
    sources: z.array(z.string()),
  }),
  [PeerMethod.ExchangeValues]: z.looseObject({
    versions: z.array(z.tuple([z.string(), z.number(), z.string()])).optional(),
    values: z.array(sharedValueSchema),
  }),
};
