/** Batch items read from a body as it arrives. */
import { describeThrown, FaultCode } from '@jujubelanding/errors';
import type { BatchItem } from '@jujubelanding/types';
import { createRefusal } from './exchange.js';
import { ItemIdSet } from './item-id-set.js';
import { checkInput, describeLocation, InputRejection, parseInput } from './request-body.js';
import { itemSchema, submissionSchema, type SubmissionFields } from './schemas.js';
import { ScannedKind, scanItems } from './json-item-scanner.js';

/** Text of one item and where it stands in the body. */
export interface ItemText {
  text: string;
  location: Record<string, string>;
}

export interface BatchInput {
  fields: SubmissionFields;
  items: AsyncIterable<ItemText>;
}

/** Decodes chunks as UTF-8; wrong bytes are refused instead of replaced, since items must not change. */
async function* decode(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder('utf-8', { fatal: true });
  try {
    for await (const chunk of chunks) yield decoder.decode(chunk, { stream: true });
    yield decoder.decode();
  } catch (thrown) {
    const message = `the body could not be read: ${describeThrown(thrown)}`;
    throw new InputRejection(createRefusal(FaultCode.InvalidInput, 'body', message));
  }
}

const refuseLongItem = (location: Record<string, string>, maxItemBytes: number): never => {
  const message = `${describeLocation(location)}the item exceeds ${maxItemBytes} characters`;
  throw new InputRejection(createRefusal(FaultCode.TooLarge, 'body-limit', message, location));
};

/** Splits NDJSON into lines; empty lines are skipped. */
export async function* splitLines(
  chunks: AsyncIterable<Uint8Array>,
  maxItemBytes: number,
): AsyncGenerator<ItemText> {
  let line = 1;
  let rest = '';
  for await (const text of decode(chunks)) {
    const lines = `${rest}${text}`.split('\n');
    rest = lines.pop()!;
    for (const content of lines) {
      const location = { line: String(line) };
      if (content.length > maxItemBytes) refuseLongItem(location, maxItemBytes);
      if (content.trim() !== '') yield { text: content, location };
      line += 1;
    }
    if (rest.length > maxItemBytes) refuseLongItem({ line: String(line) }, maxItemBytes);
  }
  if (rest.trim() !== '') yield { text: rest, location: { line: String(line) } };
}

/** Reads the fields before `items` of a JSON body, and the items one by one. */
export const openJsonBody = async (
  chunks: AsyncIterable<Uint8Array>,
  maxItemBytes: number,
): Promise<BatchInput> => {
  const scanned = scanItems(decode(chunks), maxItemBytes);
  const first = await scanned.next();
  if (first.done === true || first.value.kind !== ScannedKind.Fields) {
    const message = 'the body must be an object with the field items';
    throw new InputRejection(createRefusal(FaultCode.InvalidInput, 'body', message));
  }
  const fields = parseInput(first.value.text, submissionSchema);
  if (fields.isErr()) throw new InputRejection(fields.error);
  async function* locateItems(): AsyncGenerator<ItemText> {
    for await (const { text, line, index } of scanned) {
      yield { text, location: { item: String(index), line: String(line) } };
    }
  }
  return { fields: fields.value, items: locateItems() };
};

/** Parses, checks and counts items; a wrong item ends the sequence with an `InputRejection`. */
export async function* readItems(
  texts: AsyncIterable<ItemText>,
  bounds: { maxItems: number; maxTokens: number },
): AsyncGenerator<BatchItem> {
  const seen = new ItemIdSet();
  for await (const { text, location } of texts) {
    const parsed = parseInput(text, itemSchema, location);
    if (parsed.isErr()) throw new InputRejection(parsed.error);
    const { itemId, messages, maxTokens = bounds.maxTokens } = parsed.value;
    const refuse = (code: FaultCode, field: string, problem: string): never => {
      const details = { ...location, field, problem };
      const message = `${describeLocation(location)}field ${field}: ${problem}`;
      throw new InputRejection(createRefusal(code, 'body', message, details));
    };
    if (!seen.add(itemId)) refuse(FaultCode.InvalidInput, 'itemId', `${itemId} is used twice`);
    if (seen.size > bounds.maxItems) {
      refuse(FaultCode.TooLarge, 'items', `more than ${bounds.maxItems} items`);
    }
    if (maxTokens > bounds.maxTokens) {
      refuse(FaultCode.InvalidInput, 'maxTokens', `${maxTokens} exceeds ${bounds.maxTokens}`);
    }
    yield { itemId, messages, maxTokens };
  }
  if (seen.size === 0) {
    const message = 'a batch needs at least one item';
    throw new InputRejection(createRefusal(FaultCode.InvalidInput, 'body', message));
  }
}

/** Checks fields from the query of an NDJSON submission. */
export const parseQueryFields = (query: Record<string, string>): SubmissionFields => {
  const fields = checkInput(query, submissionSchema);
  if (fields.isErr()) throw new InputRejection(fields.error);
  return fields.value;
};
