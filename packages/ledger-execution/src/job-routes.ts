/** Finds the route of a job in the configuration that is in force on this VM. */
import type { Job } from '@jujubelanding/batch-ledger';
import type { Log } from '@jujubelanding/log';
import type { Route, RouteTable } from '@jujubelanding/route-table';
import { err, ok, type Result } from 'neverthrow';

export enum MissingRoute {
  /** No configuration is loaded, or one that is older than the one under which the job was accepted. */
  NotKnownYet = 'not-known-yet',
  /** The configuration has no route for the job anymore. */
  Removed = 'removed',
}

/** Looks up the route of a job. Records of earlier versions do not have the version of the configuration. */
export const findJobRoute = (
  table: RouteTable | undefined,
  { host, target, configurationVersion = 0 }: Job,
): Result<Route, MissingRoute> => {
  if (table === undefined || table.version < configurationVersion) {
    return err(MissingRoute.NotKnownYet);
  }
  const route = table.match(host, target);
  return route === undefined ? err(MissingRoute.Removed) : ok(route);
};

export interface JobRoutesOptions {
  log: Log;
  readTable: () => RouteTable | undefined;
}

/** Routes of jobs; logs once for each job that its configuration is not known yet. */
export class JobRoutes {
  private readonly waitingJobs = new WeakSet<Job>();

  constructor(private readonly options: JobRoutesOptions) {}

  find(job: Job): Result<Route, MissingRoute> {
    const table = this.options.readTable();
    const route = findJobRoute(table, job);
    const mustWait = route.isErr() && route.error === MissingRoute.NotKnownYet;
    if (mustWait && !this.waitingJobs.has(job)) {
      this.waitingJobs.add(job);
      const { id, configurationVersion } = job;
      const fields = { job: id, accepted: configurationVersion, inForce: table?.version };
      this.options.log.write('job-waits-for-configuration', fields);
    }
    return route;
  }
}
