import type { VmEvidence } from './crash-evidence.js';

/** Crashes and answers are reported for this long. */
const REPORT_MS = 60_000;

/** Maximum number of crashes, and of parts with answers, in a report. */
const MAX_ENTRIES = 32;

/** Joins the parts of a request; ids of parts contain no commas. */
const SEPARATOR = ',';

interface Timed<T> {
  at: number;
  values: Set<T>;
}

const addTo = (
  map: Map<string, Timed<string>>,
  key: string,
  values: readonly string[],
  now: number,
): boolean => {
  const entry = map.get(key);
  const known = entry?.values ?? new Set();
  const isNew = entry === undefined || values.some((value) => !known.has(value));
  map.delete(key);
  map.set(key, { at: now, values: new Set([...known, ...values]) });
  if (map.size > MAX_ENTRIES) map.delete([...map.keys()][0]!);
  return isNew;
};

const toEntries = (map: Map<string, Timed<string>>): [string, string[]][] =>
  [...map].map(([key, { values }]) => [key, [...values]]);

/** What this VM reports to the others. */
export class OwnEvidence {
  private readonly crashes = new Map<string, Timed<string>>();

  private readonly answers = new Map<string, Timed<string>>();

  /** Returns true if the report changes. */
  addLoss(crashId: string, parts: readonly string[], now: number): boolean {
    return addTo(this.crashes, crashId, [parts.join(SEPARATOR)], now);
  }

  /** Returns true if the report changes. */
  addAnswer(part: string, crashIds: readonly string[], now: number): boolean {
    return addTo(this.answers, part, crashIds, now);
  }

  report(now: number): VmEvidence {
    [this.crashes, this.answers].forEach((map) => {
      for (const [key, { at }] of map) if (now - at > REPORT_MS) map.delete(key);
    });
    const crashes = toEntries(this.crashes).map(([id, requests]): [string, string[][]] => [
      id,
      requests.map((parts) => parts.split(SEPARATOR)),
    ]);
    return { crashes, answers: toEntries(this.answers) };
  }
}
