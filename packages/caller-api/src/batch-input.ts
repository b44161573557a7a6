/** Parses batch items from a request body while it arrives. */
import { getErrorMessage, FaultCode } from '@jujubelanding/errors';
import type { BatchItem } from '@jujubelanding/types';
import { createRefusal } from './request-context.js';
import { ItemIdSet } from './item-id-set.js';
import { checkInput, formatLocation, InputError, parseInput } from './request-body.js';
import { itemSchema, submissionSchema, type SubmissionFields } from './schemas.js';
import { ScannedPartKind, scanItems } from './json-item-scanner.js';

/** Text of one item and its location in the body. */
export interface ItemText {
  text: string;
  location: Record<string, string>;
}

export interface BatchInput {
  fields: SubmissionFields;
  items: AsyncIterable<ItemText>;
}

/** Decodes chunks as UTF-8. Invalid bytes are rejected, because replacing them would alter an item. */
async function* decodeUtf8(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder('utf-8', { fatal: true });
  try {
    for await (const chunk of chunks) yield decoder.decode(chunk, { stream: true });
    yield decoder.decode();
  } catch (thrown) {
    const message = `the body could not be read: ${getErrorMessage(thrown)}`;
    throw new InputError(createRefusal(FaultCode.InvalidInput, 'body', message));
  }
}

const rejectLongItem = (location: Record<string, string>, maxItemBytes: number): never => {
  const message = `${formatLocation(location)}the item exceeds ${maxItemBytes} characters`;
  throw new InputError(createRefusal(FaultCode.TooLarge, 'body-limit', message, location));
};

/** Splits NDJSON into lines and skips empty ones. */
export async function* splitLines(
  chunks: AsyncIterable<Uint8Array>,
  maxItemBytes: number,
): AsyncGenerator<ItemText> {
  let line = 1;
  let remainder = '';
  for await (const text of decodeUtf8(chunks)) {
    // Only the new text is searched; a long line would otherwise be searched again with each chunk.
    const [first, ...others] = text.split('\n') as [string, ...string[]];
    const lines = [remainder + first, ...others];
    remainder = lines.pop()!;
    for (const content of lines) {
      const location = { line: String(line) };
      if (content.length > maxItemBytes) rejectLongItem(location, maxItemBytes);
      if (content.trim() !== '') yield { text: content, location };
      line += 1;
    }
    if (remainder.length > maxItemBytes) rejectLongItem({ line: String(line) }, maxItemBytes);
  }
  if (remainder.trim() !== '') yield { text: remainder, location: { line: String(line) } };
}

/** Reads the fields that precede `items` in a JSON body and returns them with an iterator over the items. */
export const openJsonBody = async (
  chunks: AsyncIterable<Uint8Array>,
  maxItemBytes: number,
): Promise<BatchInput> => {
  const scanned = scanItems(decodeUtf8(chunks), maxItemBytes);
  const first = await scanned.next();
  if (first.done === true || first.value.kind !== ScannedPartKind.Fields) {
    const message = 'the body must be an object with the field items';
    throw new InputError(createRefusal(FaultCode.InvalidInput, 'body', message));
  }
  const fields = parseInput(first.value.text, submissionSchema);
  if (fields.isErr()) throw new InputError(fields.error);
  async function* locateItems(): AsyncGenerator<ItemText> {
    for await (const { text, line, index } of scanned) {
      yield { text, location: { item: String(index), line: String(line) } };
    }
  }
  return { fields: fields.value, items: locateItems() };
};

/** Parses, validates and counts items; throws an `InputError` at the first invalid item. */
export async function* readItems(
  texts: AsyncIterable<ItemText>,
  bounds: { maxItems: number; maxTokens: number },
): AsyncGenerator<BatchItem> {
  const seen = new ItemIdSet();
  for await (const { text, location } of texts) {
    const parsed = parseInput(text, itemSchema, location);
    if (parsed.isErr()) throw new InputError(parsed.error);
    const { itemId, messages, maxTokens = bounds.maxTokens } = parsed.value;
    const reject = (code: FaultCode, field: string, problem: string): never => {
      const details = { ...location, field, problem };
      const message = `${formatLocation(location)}field ${field}: ${problem}`;
      throw new InputError(createRefusal(code, 'body', message, details));
    };
    if (!seen.add(itemId)) reject(FaultCode.InvalidInput, 'itemId', `${itemId} is used twice`);
    if (seen.size > bounds.maxItems) {
      reject(FaultCode.TooLarge, 'items', `there are more than ${bounds.maxItems} items`);
    }
    if (maxTokens > bounds.maxTokens) {
      reject(FaultCode.InvalidInput, 'maxTokens', `${maxTokens} exceeds ${bounds.maxTokens}`);
    }
    yield { itemId, messages, maxTokens };
  }
  if (seen.size === 0) {
    const message = 'a batch needs at least one item';
    throw new InputError(createRefusal(FaultCode.InvalidInput, 'body', message));
  }
}

/** Validates the job fields in the query of an NDJSON submission. */
export const parseQueryFields = (query: Record<string, string>): SubmissionFields => {
  const fields = checkInput(query, submissionSchema);
  if (fields.isErr()) throw new InputError(fields.error);
  return fields.value;
};
