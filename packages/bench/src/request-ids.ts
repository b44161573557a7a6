/** Request ids of online load, which let meters distinguish it from batch work. */

const ONLINE_PREFIX = 'online-';

const BURST_PATTERN = /-burst(\d+)/;

export const createOnlineRequestId = (index: number, burst?: number): string =>
  burst === undefined ? `${ONLINE_PREFIX}${index}` : `${ONLINE_PREFIX}${index}-burst${burst}`;

export const isOnlineRequestId = (requestId: string): boolean =>
  requestId.startsWith(ONLINE_PREFIX);

/** Returns the index of the burst that the request belongs to, if any. */
export const parseBurstIndex = (requestId: string): number | undefined => {
  const match = BURST_PATTERN.exec(requestId);
  return match === null ? undefined : Number(match[1]);
};
