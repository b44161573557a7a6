/** Creates the health by results of a router, with its log lines and metrics. */
import type { Directory, EntryVmIo, FleetResults } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { ResultHealth, type HealthChange } from './result-health.js';
import type { ResultWindow } from './result-window.js';
import { HealthPhase } from './worker-phase.js';

/** Results of requests, by which the workers of a service are compared. */
export interface RouterResults {
  /** Results of this VM. */
  window: ResultWindow;
  /** Reads the results of all VMs, including this one. */
  readFleet: () => FleetResults;
}

const DECIMALS = 1000;

const round = (value: number): number => Math.round(value * DECIMALS) / DECIMALS;

const listServices = (directory: Directory): ReadonlyMap<string, readonly string[]> => {
  const services = new Map<string, string[]>();
  directory.all().forEach(({ id, service }) => {
    const ids = services.get(service);
    if (ids === undefined) services.set(service, [id]);
    else ids.push(id);
  });
  return services;
};

/** One line per change of a worker's phase, or of whether its weight is below 1. */
const logChange = (log: Log, change: HealthChange): void =>
  log.write('health', {
    worker: change.workerId,
    service: change.service,
    phase: change.phase,
    weight: round(change.weight),
    successes: round(change.successes),
    failures: round(change.failures),
    usualRate: round(change.usualRate),
    evidence: round(change.evidence),
    ageMs: Math.round(change.ageMs),
    ejected: change.ejectedWorkers,
    workers: change.workers,
  });

export const createResultHealth = ({
  io,
  log,
  directory,
  results,
}: {
  io: Pick<EntryVmIo, 'metrics'>;
  log: Log;
  directory: Directory;
  results?: RouterResults | undefined;
}): ResultHealth | undefined => {
  if (results === undefined) return undefined;
  return new ResultHealth({
    ...results,
    listServices: () => listServices(directory),
    onChange: (change) => {
      logChange(log, change);
      const { service, phase } = change;
      if (phase === HealthPhase.Ejected) io.metrics.increment('routing.ejected', { service });
    },
  });
};
