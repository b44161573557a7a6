import test from 'ava';
import type { Job } from '@jujubelanding/batch-ledger';
import { RouteTable } from '@jujubelanding/route-table';
import { findJobRoute } from './job-routes.js';

const HOST = 'a.example';

const createTable = (version: number, hasRoute: boolean): RouteTable => {
  const routes = hasRoute ? [{ name: 'jobs', host: HOST, prefix: '/jobs/' }] : [];
  return new RouteTable({ version, routes, services: [] } as never);
};

// A route that is not known yet was taken for a removed one.
test('the version of the configuration tells a removed route from one that is not known yet', (t) => {
  const find = (acceptedUnder: number | undefined, table: RouteTable | undefined): string => {
    const job = { host: HOST, target: '/jobs/1', configurationVersion: acceptedUnder } as Job;
    return findJobRoute(table, job).match(
      ({ name }) => name,
      (missing) => missing,
    );
  };
  const seen: Record<string, string> = { 'no configuration': find(7, undefined) };
  for (const version of [3, 7, 9]) {
    for (const hasRoute of [true, false]) {
      const table = createTable(version, hasRoute);
      const name = `version ${version}, ${hasRoute ? 'a route' : 'no route'}`;
      seen[`${name}, accepted under 7`] = find(7, table);
      seen[`${name}, an earlier record`] = find(undefined, table);
    }
  }
  t.snapshot(seen);
});
