import type {
  EntryPointResponse,
  EntryPoints,
  EntryVmIo,
  EntryVmSettings,
  Membership,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { selectStaying } from '@jujubelanding/planned-stop';
import type { Subscription } from '@jujubelanding/timer';
import { MemberState } from '@jujubelanding/types';
import { chooseMembers } from './choice.js';

/** With three addresses a caller has one left after the loss of one VM and one wrong address. */
export const DEFAULT_ENTRY_POINT_COUNT = 3;

/** Lifetime of an answer of leaving VMs, so that callers change to a VM that is back within a second. */
export const LEAVING_LIFETIME_MS = 1000;

export interface EntryPointsOptions {
  io: Pick<EntryVmIo, 'createLog' | 'timer'>;
  settings: Pick<EntryVmSettings, 'entryPointLifetimeMs'>;
  membership: Pick<Membership, 'members' | 'onChange'>;
  /** Number of addresses in each answer. */
  count?: number;
}

/** Chooses the entry VM addresses that a caller should use. */
export class EntryPointsController implements EntryPoints {
  private readonly log: Log;

  private subscription: Subscription | undefined;

  /** Times at which this VM learned that members leave. */
  private leavingSince: ReadonlyMap<string, number> = new Map();

  constructor(private readonly options: EntryPointsOptions) {
    this.log = options.io.createLog('entry-points');
  }

  start(): void {
    this.subscription ??= this.options.membership.onChange(() => this.recordLeaving());
  }

  stop(): void {
    this.subscription?.cancel();
  }

  choose(caller: string, availabilityZone?: string): EntryPointResponse {
    const { membership, settings, count = DEFAULT_ENTRY_POINT_COUNT } = this.options;
    const staying = this.selectStaying();
    const choice = { caller, availabilityZone, count, staying };
    const chosen = chooseMembers(membership.members(), choice);
    const isLeaving = chosen.some(({ state }) => state === MemberState.Leaving);
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

  /** Selects the leaving VMs that callers may use because too few VMs are live. */
  private selectStaying(): string[] {
    const { io, membership, settings } = this.options;
    this.recordLeaving();
    const live = membership.members().filter(({ state }) => state === MemberState.Alive);
    return selectStaying({
      now: io.timer.now(),
      fleetVms: live.length + this.leavingSince.size,
      servingVms: live.length,
      // Each VM chooses for its own callers, so the order need not be the same on all VMs.
      stopping: [...this.leavingSince].map(([entryVmId, since]) => ({
        entryVmId,
        since,
        stoppedAt: since,
      })),
      graceMs: settings.entryPointLifetimeMs,
      minStayMs: LEAVING_LIFETIME_MS,
    });
  }

  private recordLeaving(): void {
    const { io, membership } = this.options;
    const leaving = membership.members().filter(({ state }) => state === MemberState.Leaving);
    const now = io.timer.now();
    this.leavingSince = new Map(
      leaving.map(({ entryVmId }) => [entryVmId, this.leavingSince.get(entryVmId) ?? now]),
    );
  }
}
