import { createHash } from 'node:crypto';

/** Tells keys of requests from parts of prompts among the blocked ids. */
const PREFIX = 'request-';

const KEY_LENGTH = 32;

/** What stays the same when a caller sends a request again. */
export interface RepeatableRequest {
  method: string;
  host: string;
  /** Path and query string. */
  target: string;
  team?: { name: string };
  headers: Readonly<Record<string, string | string[] | undefined>>;
  body: Uint8Array;
  promptPrefixes: readonly string[];
}

/** Returns a key that is the same for all attempts at a request, on all VMs. */
export const computeRequestKey = (request: RepeatableRequest): string => {
  const { method, host, target, team, headers, body, promptPrefixes } = request;
  const caller = team?.name ?? headers.authorization ?? '';
  const head = JSON.stringify([method, host, target, caller, promptPrefixes]);
  const digest = createHash('sha256').update(`${head}\n`).update(body).digest('hex');
  return `${PREFIX}${digest.slice(0, KEY_LENGTH)}`;
};

export const isRequestKey = (id: string): boolean => id.startsWith(PREFIX);
