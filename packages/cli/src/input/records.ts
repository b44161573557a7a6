/** Records in a file: one JSON object, an array of them, or one per line. */
import { Err, Ok, Result } from 'ts-results-es';
import * as z from 'zod';
import { RECORD_SCHEMA } from '../client/schemas.js';
import { parseJson } from './files.js';

// Strict, so that a misspelt field is not ignored. The revision is accepted because `get --json`
// writes it; it then guards against changes made since.
const FILE_RECORD_SCHEMA = RECORD_SCHEMA.partial({ revision: true }).strict();

export type FileRecord = z.infer<typeof FILE_RECORD_SCHEMA>;

interface LocatedValue {
  place: string;
  value: unknown;
}

const parseLines = (text: string): Result<LocatedValue[], string[]> => {
  const lines = text
    .split('\n')
    .map((line, index) => ({ line: line.trim(), place: `line ${index + 1}` }))
    .filter(({ line }) => line !== '');
  const [values, faults] = Result.partition(
    lines.map(({ line, place }) =>
      parseJson(line).match<Result<LocatedValue, string>>(
        (value) => Ok({ place, value }),
        (problem) => Err(`${place}: ${problem}`),
      ),
    ),
  );
  return faults.length > 0 ? Err(faults) : Ok(values);
};

const splitRecords = (text: string): Result<LocatedValue[], string[]> => {
  const document = parseJson(text);
  if (document.isOk()) {
    const values = Array.isArray(document.value) ? document.value : [document.value];
    return Ok(values.map((value: unknown, index) => ({ place: `record ${index + 1}`, value })));
  }
  // A first line that stands alone tells NDJSON from one broken document.
  const firstLine = text.trimStart().split('\n', 1)[0]!;
  return parseJson(firstLine).isOk() ? parseLines(text) : Err([document.error]);
};

const checkRecord = ({ place, value }: LocatedValue): Result<FileRecord, string[]> => {
  const parsed = FILE_RECORD_SCHEMA.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map(({ path, message }) =>
      [place, ...(path.length > 0 ? [path.join('.')] : []), message].join(': '),
    ),
  );
};

const findDuplicates = (records: readonly FileRecord[]): string[] => {
  const names = records.map(({ kind, name }) => `${kind} ${name}`);
  return [...new Set(names.filter((name, index) => names.indexOf(name) !== index))].map(
    (name) => `${name}: given more than once`,
  );
};

/** Parses a file of records and collects all faults. */
export const parseRecords = (text: string): Result<FileRecord[], string[]> => {
  const locatedValues = splitRecords(text);
  if (locatedValues.isErr()) return Err(locatedValues.error);
  const [records, faults] = Result.partition(locatedValues.value.map(checkRecord));
  const all = [...faults.flat(), ...findDuplicates(records)];
  if (locatedValues.value.length === 0)
    all.push('no records; allowed: JSON, NDJSON or a JSON array');
  return all.length > 0 ? Err(all) : Ok(records);
};
