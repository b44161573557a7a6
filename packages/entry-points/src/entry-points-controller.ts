import type {
  EntryPointResponse,
  EntryPoints,
  EntryVmIo,
  EntryVmSettings,
  Membership,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { MemberState } from '@jujubelanding/types';
import { chooseMembers } from './choice.js';

/** With three addresses a caller has one left after the loss of one VM and one wrong address. */
export const DEFAULT_ENTRY_POINT_COUNT = 3;

/** Lifetime of an answer of leaving VMs, so that callers change to a VM that is back within a second. */
export const LEAVING_LIFETIME_MS = 1000;

export interface EntryPointsOptions {
  io: Pick<EntryVmIo, 'createLog'>;
  settings: Pick<EntryVmSettings, 'entryPointLifetimeMs'>;
  membership: Pick<Membership, 'members'>;
  /** Number of addresses in each answer. */
  count?: number;
}

/** Chooses the entry VM addresses that a caller should use. */
export class EntryPointsController implements EntryPoints {
  private readonly log: Log;

  constructor(private readonly options: EntryPointsOptions) {
    this.log = options.io.createLog('entry-points');
  }

  start(): void {}

  stop(): void {}

  choose(caller: string, availabilityZone?: string): EntryPointResponse {
    const { membership, settings, count = DEFAULT_ENTRY_POINT_COUNT } = this.options;
    const chosen = chooseMembers(membership.members(), { caller, availabilityZone, count });
    const isLeaving = chosen[0]?.state === MemberState.Leaving;
    const { entryPointLifetimeMs } = settings;
    this.log.write('entry-points-chosen', {
      caller,
      availabilityZone,
      chosen: chosen.map(({ entryVmId }) => entryVmId),
    });
    return {
      entryPoints: chosen.map((member) => ({
        address: member.callerAddress,
        availabilityZone: member.availabilityZone,
      })),
      lifetimeMs: isLeaving
        ? Math.min(LEAVING_LIFETIME_MS, entryPointLifetimeMs)
        : entryPointLifetimeMs,
    };
  }
}
