/** Times of a planned stop, in milliseconds. */
import type { DeployedSettings } from './settings.js';

/** Time for which callers may cache entry point addresses, unless the platform sets a lower maximum. */
const ENTRY_POINT_LIFETIME_MS = 1000;

/** The same for the addresses of VMs that are being stopped. */
export const STAYING_LIFETIME_MS = 500;

/** Some callers use cached addresses for this many times their lifetime. */
const MAX_LIFETIME_MULTIPLE = 3;

/** Time for requests that are already on the way when the cached addresses expire. */
const IN_FLIGHT_SLACK_MS = 300;

/** Time for which callers may arrive after an answer named a VM that is being stopped. */
export const STAYING_DRAIN_MS = STAYING_LIFETIME_MS * MAX_LIFETIME_MULTIPLE + IN_FLIGHT_SLACK_MS;

/** Margin before the platform kills the process, within which it closes its connections and ends. */
const SHUTDOWN_MARGIN_MS = 500;

export const computeEntryPointLifetime = ({
  maxEntryPointLifetimeMs,
}: Pick<DeployedSettings, 'maxEntryPointLifetimeMs'>): number =>
  Math.min(ENTRY_POINT_LIFETIME_MS, maxEntryPointLifetimeMs);

/** Time for which callers still arrive after a VM was removed from the entry points. */
export const computeCallerDrain = (
  settings: Pick<DeployedSettings, 'maxEntryPointLifetimeMs'>,
): number => computeEntryPointLifetime(settings) * MAX_LIFETIME_MULTIPLE + IN_FLIGHT_SLACK_MS;

/** Time from the start of a stop at which requests in progress are cut. */
export const computeStopTime = ({
  terminationGraceMs,
}: Pick<DeployedSettings, 'terminationGraceMs'>): number => terminationGraceMs - SHUTDOWN_MARGIN_MS;
