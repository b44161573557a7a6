/** Reads and writes item and result segments, which hold one JSON line per entry. */
import { FaultCode, getErrorMessage, type Fault } from '@jujubelanding/errors';
import type { SegmentItem } from '@jujubelanding/peer-protocol';
import type { ItemResult } from '@jujubelanding/types';
import { ok, type Result } from 'neverthrow';
import { createNotRunFault } from './faults.js';

const parseLines = <T>(content: Uint8Array): Result<T[], Fault> => {
  try {
    const lines = Buffer.from(content).toString('utf8').split('\n');
    return ok(lines.filter((line) => line !== '').map((line) => JSON.parse(line) as T));
  } catch (thrown) {
    return createNotRunFault(FaultCode.Corrupt, 'segment-parse', getErrorMessage(thrown));
  }
};

/** Parses an item segment without validation; its checksum was verified when it was read. */
export const parseItems = (content: Uint8Array): Result<SegmentItem[], Fault> =>
  parseLines<SegmentItem>(content);

export const parseResults = (content: Uint8Array): Result<ItemResult[], Fault> =>
  parseLines<ItemResult>(content);

/** Encodes the results of a chunk, which must be in item order. */
export const encodeResults = (results: readonly ItemResult[]): Uint8Array =>
  Buffer.from(results.map((result) => `${JSON.stringify(result)}\n`).join(''));
