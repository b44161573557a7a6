/** Creates the component that limits the requests of teams over all entry VMs. */
import type { Ownership } from '@jujubelanding/batch-ledger';
import { MessageKind, type LimitMessage } from '@jujubelanding/fleet-load';
import {
  RateLimits,
  RateMessageKind,
  TeamOwners,
  type RateBounds,
  type RateMessage,
} from '@jujubelanding/limits';
import type { RouteTable } from '@jujubelanding/route-table';
import type { Fleet } from './fleet-components.js';
import type { DeployedVmOptions } from './options.js';

type LimitTable = Pick<RouteTable, 'hasTeams' | 'hasTeamLimits' | 'findTeam'>;

interface LimitFleet {
  loads: Pick<Fleet['loads'], 'listServing' | 'departure' | 'sendLimits' | 'onLimits'>;
  registry: Pick<Fleet['registry'], 'peers' | 'find'>;
}

const encodeMessage = (message: RateMessage): LimitMessage =>
  message.kind === RateMessageKind.Usage
    ? { ...message, kind: MessageKind.Usage }
    : { ...message, kind: MessageKind.Shares };

const decodeMessage = (message: LimitMessage): RateMessage =>
  message.kind === MessageKind.Usage
    ? { ...message, kind: RateMessageKind.Usage }
    : { ...message, kind: RateMessageKind.Shares };

/** Returns the limit of a team; undefined if it has none. */
const findBounds = (table: LimitTable | undefined, team: string): RateBounds | undefined => {
  const { requestsPerSecond = 0, burst = 0 } = table?.findTeam(team) ?? {};
  return requestsPerSecond > 0 ? { requestsPerSecond, burst } : undefined;
};

type LimitOptions = Pick<
  DeployedVmOptions,
  'startedAt' | 'timer' | 'random' | 'metrics' | 'createLog'
> & { settings: Pick<DeployedVmOptions['settings'], 'availabilityZone'> };

/** Without teams in the configuration the components send, count and keep nothing. */
export const createLimits = (
  { settings, startedAt, timer, random, metrics, createLog }: LimitOptions,
  { entryVmId, bootId }: Ownership,
  { loads, registry }: LimitFleet,
  readTable: () => LimitTable | undefined,
) => {
  const owners = new TeamOwners({
    timer,
    self: entryVmId,
    listServing: () => loads.listServing(),
    listRegistered: () => registry.peers().map((vm) => vm.entryVmId),
    readZone: (id) =>
      id === entryVmId ? settings.availabilityZone : registry.find(id)?.availabilityZone,
    startedAt: startedAt ?? timer.now(),
    isLeaving: () => loads.departure !== undefined,
    isNeeded: () => readTable()?.hasTeams === true,
    hasLimits: () => readTable()?.hasTeamLimits === true,
  });
  const limits = new RateLimits({
    timer,
    random,
    metrics,
    log: createLog('limits'),
    port: {
      ...owners.port,
      entryVmId,
      bootId: () => bootId,
      findBounds: (team) => findBounds(readTable(), team),
      send: (receiverId, message) => loads.sendLimits(receiverId, encodeMessage(message)),
    },
  });
  loads.onLimits((message) => limits.receive(decodeMessage(message)));
  return {
    limits,
    start: (): void => {
      owners.start();
      limits.start();
    },
    stop: (): void => {
      owners.stop();
      limits.stop();
    },
  };
};
