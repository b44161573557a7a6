/** Validates the batch items of an NDJSON file. */
import { getErrorMessage } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { type OpenInput, parseJson, readLines } from './files.js';

const TEXT_PART_SCHEMA = z.object({ type: z.literal('text'), text: z.string() });

// Strict, so that misspelt fields are rejected instead of ignored.
const ITEM_SCHEMA = z.strictObject({
  itemId: z.string().min(1).max(200),
  messages: z
    .array(
      z.object({
        role: z.string().min(1),
        content: z.union([z.string(), z.array(TEXT_PART_SCHEMA)]),
      }),
    )
    .min(1),
  maxTokens: z.number().int().positive().optional(),
});

// Limits the report on a file in another format, in which every line is invalid.
const MAX_REPORTED_ERRORS = 20;

const checkLine = (line: string, itemIds: Set<string>): string[] => {
  const item = parseJson(line);
  if (item.isErr()) return [item.error];
  const parsed = ITEM_SCHEMA.safeParse(item.value);
  if (!parsed.success) {
    return parsed.error.issues.map(({ path, message }) => [...path, message].join(': '));
  }
  const { itemId } = parsed.data;
  if (itemIds.has(itemId)) return [`itemId: ${JSON.stringify(itemId)} is given more than once`];
  itemIds.add(itemId);
  return [];
};

const checkLines = async (open: OpenInput): Promise<Result<number, string[]>> => {
  const itemIds = new Set<string>();
  const errors: string[] = [];
  let lineNumber = 0;
  for await (const line of readLines(open())) {
    lineNumber += 1;
    if (line.trim() === '') continue;
    const location = `line ${lineNumber}`;
    errors.push(...checkLine(line, itemIds).map((error) => `${location}: ${error}`));
    if (errors.length >= MAX_REPORTED_ERRORS) return err([...errors, 'further lines not checked']);
  }
  if (errors.length > 0) return err(errors);
  return itemIds.size > 0 ? ok(itemIds.size) : err(['no items; allowed: one JSON object per line']);
};

/** Validates all items before any is sent, and returns their number. */
export const checkItems = async (open: OpenInput): Promise<Result<number, string[]>> => {
  try {
    return await checkLines(open);
  } catch (thrown) {
    return err([getErrorMessage(thrown)]);
  }
};
