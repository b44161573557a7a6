/** Schemas of request bodies and queries. */
import type { Message } from '@jujubelanding/types';
import * as z from 'zod';

const textPartSchema = z.object({ type: z.literal('text'), text: z.string() });

/** Content is a string or a list of text parts, which are concatenated. */
const messageSchema: z.ZodType<Message> = z
  .object({
    role: z.string().min(1),
    content: z.union([z.string(), z.array(textPartSchema)]),
  })
  .transform(({ role, content }) => ({
    role,
    content: typeof content === 'string' ? content : content.map(({ text }) => text).join(''),
  }));

const messagesSchema = z.array(messageSchema).min(1);

/** Chat completion request; parameters that the engines do not support are accepted and ignored. */
export const chatSchema = z.object({
  model: z.string().min(1),
  adapter: z.string().min(1).optional(),
  messages: messagesSchema,
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().nullish(),
});

export type ChatRequest = z.infer<typeof chatSchema>;

/** Batch item; unknown fields are rejected, because a misspelled one would be silently ignored. */
export const itemSchema = z.strictObject({
  itemId: z.string().min(1).max(200),
  messages: messagesSchema,
  maxTokens: z.number().int().positive().optional(),
});

/** Job fields of a submission. */
export const submissionSchema = z.strictObject({
  job: z.string().min(1).optional(),
  model: z.string().min(1).optional(),
  adapter: z.string().min(1).optional(),
  dueInMs: z.coerce.number().int().positive().optional(),
  dueAt: z.iso.datetime({ offset: true }).optional(),
  maxAttempts: z.coerce.number().int().min(1).max(3).optional(),
});

export type SubmissionFields = z.infer<typeof submissionSchema>;

/** Range of items in a result query. */
export const rangeSchema = z.object({
  from: z.coerce.number().int().min(0).optional(),
  to: z.coerce.number().int().min(0).optional(),
});
