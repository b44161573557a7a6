/** Records in a file: one JSON object, an array of them, or one per line. */
import { Err, Ok, Result } from 'ts-results-es';
import * as z from 'zod';
import { RECORD } from '../client/shapes.js';
import { parseJson } from './files.js';

// Strict, so that a misspelt field is not ignored. The revision is accepted because `get --json`
// writes it; it then guards against changes made since.
const FILE_RECORD = RECORD.partial({ revision: true }).strict();

export type FileRecord = z.infer<typeof FILE_RECORD>;

interface Located {
  place: string;
  value: unknown;
}

const splitLines = (text: string): Result<Located[], string[]> => {
  const lines = text
    .split('\n')
    .map((line, index) => ({ line: line.trim(), place: `line ${index + 1}` }))
    .filter(({ line }) => line !== '');
  const [values, faults] = Result.partition(
    lines.map(({ line, place }) =>
      parseJson(line).match<Result<Located, string>>(
        (value) => Ok({ place, value }),
        (problem) => Err(`${place}: ${problem}`),
      ),
    ),
  );
  return faults.length > 0 ? Err(faults) : Ok(values);
};

const locate = (text: string): Result<Located[], string[]> => {
  const whole = parseJson(text);
  if (whole.isOk()) {
    const values = Array.isArray(whole.value) ? whole.value : [whole.value];
    return Ok(values.map((value: unknown, index) => ({ place: `record ${index + 1}`, value })));
  }
  // A first line that stands alone tells NDJSON from one broken document.
  const firstLine = text.trimStart().split('\n', 1)[0]!;
  return parseJson(firstLine).isOk() ? splitLines(text) : Err([whole.error]);
};

const checkRecord = ({ place, value }: Located): Result<FileRecord, string[]> => {
  const parsed = FILE_RECORD.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map(({ path, message }) =>
      [place, ...(path.length > 0 ? [path.join('.')] : []), message].join(': '),
    ),
  );
};

const findRepeated = (records: readonly FileRecord[]): string[] => {
  const names = records.map(({ kind, name }) => `${kind} ${name}`);
  return [...new Set(names.filter((name, index) => names.indexOf(name) !== index))].map(
    (name) => `${name}: given more than once`,
  );
};

/** Parses a file of records and collects all faults. */
export const parseRecords = (text: string): Result<FileRecord[], string[]> => {
  const located = locate(text);
  if (located.isErr()) return Err(located.error);
  const [records, faults] = Result.partition(located.value.map(checkRecord));
  const all = [...faults.flat(), ...findRepeated(records)];
  if (located.value.length === 0) all.push('no records; allowed: JSON, NDJSON or a JSON array');
  return all.length > 0 ? Err(all) : Ok(records);
};
