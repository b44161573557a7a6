import { TeamIndex, type Team } from '@jujubelanding/teams';
import type { Route, RoutingConfiguration, Service } from './route.js';

/** Looks up routes and services in one version of the configuration. */
export class RouteTable {
  /** Routes by lowercase host and by prefix. */
  private readonly hosts = new Map<string, Map<string, Route>>();

  private readonly services: Map<string, Service>;

  private readonly teams: TeamIndex<Team>;

  private readonly teamsByName: Map<string, Team>;

  /** True if the requests of any team are limited. */
  readonly hasTeamLimits: boolean;

  constructor(readonly configuration: RoutingConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.hosts.set(host, prefixes);
    }
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    const { teams = [] } = configuration;
    this.teams = new TeamIndex(teams.map((team) => ({ team, keyDigests: team.keyDigests })));
    this.teamsByName = new Map(teams.map((team) => [team.name, team]));
    this.hasTeamLimits = teams.some(({ requestsPerSecond = 0 }) => requestsPerSecond > 0);
  }

  get version(): number {
    return this.configuration.version;
  }

  /** Returns the route of the host with the longest matching path prefix. */
  match(host: string, target: string): Route | undefined {
    const prefixes = this.hosts.get(host.toLowerCase().replace(/:\d+$/, ''));
    if (prefixes === undefined) return undefined;
    const path = target.split('?', 1)[0]!;
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** True if callers are identified by keys. */
  get hasTeams(): boolean {
    return this.configuration.teams !== undefined;
  }

  findTeamByKey(key: string): Team | undefined {
    return this.teams.find(key);
  }

  findTeam(name: string): Team | undefined {
    return this.teamsByName.get(name);
  }

  findService(name: string): Service | undefined {
    return this.services.get(name);
  }

  /**
   * Chooses a target by weight; the draw is a number in [0, 1). Targets without workers are left out unless
   * all are, so that their share goes to the others.
   */
  static chooseService(
    { targets }: Route,
    draw: number,
    hasWorkers: (service: string) => boolean,
  ): string | undefined {
    const weighted = targets.filter(({ weight }) => weight > 0);
    const available = weighted.filter(({ service }) => hasWorkers(service));
    const candidates = available.length > 0 ? available : weighted;
    const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
    let rest = draw * total;
    for (const { service, weight } of candidates) {
      rest -= weight;
      if (rest < 0) return service;
    }
    return (candidates.at(-1) ?? targets.at(-1))?.service;
  }
}
