/** Configuration revisions of all entry VMs, as known from gossip. */
import type { EntryVmIo, Membership } from '@jujubelanding/interfaces';
import type { Member } from '@jujubelanding/types';

export type EntryVmStatus = Pick<
  Member,
  'entryVmId' | 'availabilityZone' | 'state' | 'heldRevision' | 'activeRevision'
>;

export interface FleetStatus {
  /** Highest revision that any member has held or that this VM has written. */
  acceptedRevision: number;
  /** True if the active revision of every member is at least the accepted one. */
  inForceEverywhere: boolean;
  /** Time of the last change of the two fields above, ISO 8601. */
  since: string;
  entryVms: EntryVmStatus[];
}

export interface FleetStatusOptions {
  io: Pick<EntryVmIo, 'timer'>;
  membership: Pick<Membership, 'members' | 'onChange'>;
  /** Highest revision written by this VM, which gossip may not report yet. */
  writtenRevision: () => number;
}

const toStatus = (member: Member): EntryVmStatus => ({
  entryVmId: member.entryVmId,
  availabilityZone: member.availabilityZone,
  state: member.state,
  heldRevision: member.heldRevision,
  activeRevision: member.activeRevision,
});

/** Derives the status of the fleet from gossip and records the time of its last change. */
export class FleetStatusController {
  private isActiveEverywhere: boolean | undefined;

  private acceptedRevision = 0;

  private since = 0;

  constructor(private readonly options: FleetStatusOptions) {
    options.membership.onChange(() => this.update());
  }

  read(): FleetStatus {
    this.update();
    return {
      acceptedRevision: this.acceptedRevision,
      inForceEverywhere: this.isActiveEverywhere ?? false,
      since: new Date(this.since).toISOString(),
      entryVms: this.options.membership
        .members()
        .map(toStatus)
        .toSorted((a, b) => (a.entryVmId < b.entryVmId ? -1 : 1)),
    };
  }

  private update(): void {
    const members = this.options.membership.members();
    const accepted = members.reduce(
      (highest, { heldRevision, activeRevision }) =>
        Math.max(highest, heldRevision, activeRevision),
      Math.max(this.acceptedRevision, this.options.writtenRevision()),
    );
    const isActiveEverywhere = members.every(({ activeRevision }) => activeRevision >= accepted);
    const isSame =
      isActiveEverywhere === this.isActiveEverywhere && accepted === this.acceptedRevision;
    this.acceptedRevision = accepted;
    this.isActiveEverywhere = isActiveEverywhere;
    if (!isSame) this.since = this.options.io.timer.wallClock();
  }
}
