/** Parses a file of records: one JSON object, an array of objects, or one object per line. */
import { Err, Ok, Result } from 'ts-results-es';
import * as z from 'zod';
import { RECORD_SCHEMA } from '../client/schemas.js';
import { parseJson } from './files.js';

// Strict, so that misspelt fields are rejected instead of ignored. The revision is accepted because
// `get --json` prints it; the write then fails if the record was changed in the meantime.
const FILE_RECORD_SCHEMA = RECORD_SCHEMA.partial({ revision: true }).strict();

export type FileRecord = z.infer<typeof FILE_RECORD_SCHEMA>;

interface LocatedValue {
  location: string;
  value: unknown;
}

const parseLines = (text: string): Result<LocatedValue[], string[]> => {
  const lines = text
    .split('\n')
    .map((line, index) => ({ line: line.trim(), location: `line ${index + 1}` }))
    .filter(({ line }) => line !== '');
  const [values, errors] = Result.partition(
    lines.map(({ line, location }) =>
      parseJson(line).match<Result<LocatedValue, string>>(
        (value) => Ok({ location, value }),
        (error) => Err(`${location}: ${error}`),
      ),
    ),
  );
  return errors.length > 0 ? Err(errors) : Ok(values);
};

const splitRecords = (text: string): Result<LocatedValue[], string[]> => {
  const document = parseJson(text);
  if (document.isOk()) {
    const values = Array.isArray(document.value) ? document.value : [document.value];
    return Ok(values.map((value: unknown, index) => ({ location: `record ${index + 1}`, value })));
  }
  // The text is NDJSON, and not one invalid document, if its first line is valid JSON on its own.
  const firstLine = text.trimStart().split('\n', 1)[0]!;
  return parseJson(firstLine).isOk() ? parseLines(text) : Err([document.error]);
};

const checkRecord = ({ location, value }: LocatedValue): Result<FileRecord, string[]> => {
  const parsed = FILE_RECORD_SCHEMA.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map(({ path, message }) =>
      [location, ...(path.length > 0 ? [path.join('.')] : []), message].join(': '),
    ),
  );
};

const findDuplicates = (records: readonly FileRecord[]): string[] => {
  const names = records.map(({ kind, name }) => `${kind} ${name}`);
  return [...new Set(names.filter((name, index) => names.indexOf(name) !== index))].map(
    (name) => `${name}: given more than once`,
  );
};

/** Parses a file of records and collects all errors. */
export const parseRecords = (text: string): Result<FileRecord[], string[]> => {
  const entries = splitRecords(text);
  if (entries.isErr()) return Err(entries.error);
  const [records, recordErrors] = Result.partition(entries.value.map(checkRecord));
  const errors = [...recordErrors.flat(), ...findDuplicates(records)];
  if (entries.value.length === 0) errors.push('no records; allowed: JSON, NDJSON or a JSON array');
  return errors.length > 0 ? Err(errors) : Ok(records);
};
