/** Tags in prompts and bodies by which the observer recognizes requests at the backend servers. */

/** Marks the prompt of an item that the engines always fail. */
const FAILURE_MARKER = '[[always-fails]]';

const REQUEST_TAG = /\[request=([^\s\]]+)(?: key=([^\s\]]+))?\]/;
const ITEM_TAG = /\[job=([^\s\]]+) item=(\d+)\]/;

export interface RequestTag {
  /** Event id; for a request of a burst, followed by a slash and its position. */
  request: string;
  key?: string;
}

/** Appends the tag of an online request to its text. */
export const tagRequest = (text: string, { request, key }: RequestTag): string =>
  `${text} [request=${request}${key === undefined ? '' : ` key=${key}`}]`;

/** Returns the tagged prompt of a batch item. */
export const createItemPrompt = (
  job: { id: string; prompt: string; failing: readonly number[] },
  item: number,
): string => {
  const marker = job.failing.includes(item) ? FAILURE_MARKER : '';
  return `${job.prompt} [job=${job.id} item=${item}]${marker}`;
};

export const readRequestTag = (text: string): RequestTag | undefined => {
  const match = REQUEST_TAG.exec(text);
  if (match === null) return undefined;
  const [, request, key] = match;
  return { request: request!, ...(key === undefined ? {} : { key }) };
};

/** Returns the job id from the prompt of a batch item; undefined for other prompts. */
export const readJobTag = (text: string): string | undefined => ITEM_TAG.exec(text)?.[1];
