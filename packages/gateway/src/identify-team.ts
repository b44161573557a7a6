/** Identification of the caller's team by its key. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { RouteTable } from '@jujubelanding/route-table';
import { err, ok, type Result } from 'neverthrow';
import type { InboundRequest } from './caller-exchange.js';

/** Who makes a call about a batch job. */
export interface CallerIdentity {
  /** Name of the caller's team. */
  team?: string | undefined;
  /** True if jobs belong to teams, so that only callers of its team reach a job. */
  isTeamRequired: boolean;
}

type TeamTable = Pick<RouteTable, 'hasTeams' | 'findTeamByKey'>;

/**
 * Returns the request with its team. In a configuration without teams it gets its identity headers back,
 * which then are headers like all others.
 */
export const identifyTeam = (
  request: InboundRequest,
  table: TeamTable,
  isPublic: boolean,
): Result<InboundRequest, Fault> => {
  const { key, headers, identityHeaders } = request;
  if (!table.hasTeams) return ok({ ...request, headers: { ...headers, ...identityHeaders } });
  const identified = { ...request, isTeamRequired: true };
  const team = key === undefined ? undefined : table.findTeamByKey(key);
  if (team !== undefined) return ok({ ...identified, team });
  if (isPublic) return ok(identified);
  return err({
    code: FaultCode.Unauthorized,
    outcome: Outcome.NotRun,
    step: 'identify',
    message: key === undefined ? 'the request has no key' : 'the key is not known',
  });
};
