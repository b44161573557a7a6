/** Parser of traces. */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { EVENT_SCHEMAS, type TraceEvent } from './events.js';
import { EXPECTATION_SCHEMAS, type Expectation } from './expectations.js';
import { headerSchema, type Header } from './header.js';
import { ReferenceChecker } from './reference-checker.js';

export interface NumberedExpectation {
  line: number;
  expectation: Expectation;
}

export interface Trace {
  header: Header;
  events: TraceEvent[];
  expectations: NumberedExpectation[];
}

/** Line number and reason of the first error in a trace. */
export interface TraceFault {
  line: number;
  reason: string;
}

interface NumberedText {
  line: number;
  text: string;
}

const describeIssues = ({ issues }: z.ZodError): string =>
  issues
    .map(({ path, message }) => (path.length === 0 ? message : `${path.join('.')}: ${message}`))
    .join('; ');

const parseJson = (text: string): Result<Record<string, unknown>, string> => {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return ok(value as Record<string, unknown>);
    }
    return err('not a JSON object');
  } catch (thrown) {
    return err(`not JSON: ${thrown instanceof Error ? thrown.message : String(thrown)}`);
  }
};

const applySchema = <T>(schema: z.ZodType<T>, value: unknown): Result<T, string> => {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(describeIssues(parsed.error));
};

const chooseSchema = <T>(
  schemas: Record<string, z.ZodType<T>>,
  field: string,
  value: Record<string, unknown>,
): Result<T, string> => {
  const kind = String(value[field]);
  const schema = Object.hasOwn(schemas, kind) ? schemas[kind] : undefined;
  if (schema !== undefined) return applySchema(schema, value);
  return err(`unknown ${field} ${kind}, allowed: ${Object.keys(schemas).join(', ')}`);
};

/** Parses one line and adds it to the trace; returns the reason when it is invalid. */
const addLine = (trace: Trace, referenceChecker: ReferenceChecker, { line, text }: NumberedText) =>
  parseJson(text).andThen((value): Result<void, string> => {
    if ('expect' in value) {
      return chooseSchema<Expectation>(EXPECTATION_SCHEMAS, 'expect', value).andThen(
        (expectation) => {
          const reason = referenceChecker.check(expectation);
          if (reason !== undefined) return err(reason);
          trace.expectations.push({ line, expectation });
          return ok(undefined);
        },
      );
    }
    if (trace.expectations.length > 0) return err('an event follows the expectations');
    return chooseSchema<TraceEvent>(EVENT_SCHEMAS, 'kind', value).andThen((event) => {
      const reason = referenceChecker.add(event);
      if (reason !== undefined) return err(reason);
      trace.events.push(event);
      return ok(undefined);
    });
  });

/** Parses the text of a trace; returns the first error when it is invalid. */
export const parseTrace = (content: string): Result<Trace, TraceFault> => {
  const [first, ...rest] = content
    .split('\n')
    .map((text, index): NumberedText => ({ line: index + 1, text }))
    .filter(({ text }) => text.trim() !== '');
  if (first === undefined) return err({ line: 1, reason: 'the trace is empty' });
  const header = parseJson(first.text).andThen((value) => applySchema(headerSchema, value));
  if (header.isErr()) return err({ line: first.line, reason: `header: ${header.error}` });
  const trace: Trace = { header: header.value, events: [], expectations: [] };
  const referenceChecker = new ReferenceChecker(header.value);
  for (const numbered of rest) {
    const added = addLine(trace, referenceChecker, numbered);
    if (added.isErr()) return err({ line: numbered.line, reason: added.error });
  }
  if (trace.expectations.length === 0) {
    return err({ line: rest.at(-1)?.line ?? first.line, reason: 'no expectation follows' });
  }
  return ok(trace);
};
