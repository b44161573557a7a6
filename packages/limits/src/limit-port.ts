/** What limits need to know about the other entry VMs, and how they send messages to them. */
import type { FleetView } from './team-quota.js';

export interface LimitPort<Message, Bounds> {
  entryVmId: string;
  /** Unique to each run of the process. */
  bootId: () => string;
  /** Returns the VM that accounts for the usage of a team. */
  findOwner: (team: string) => string | undefined;
  /** Time since which this VM accounts for the usage of a team; undefined if another VM does. */
  ownedSince: (team: string) => number | undefined;
  countLiveVms: () => number;
  /** Undefined for a team that is not known, or has no limits. */
  findBounds: (team: string) => Bounds | undefined;
  send: (entryVmId: string, message: Message) => void;
}

/** Port of a form in which owners reserve the equal shares of VMs that are not heard from. */
export interface FleetLimitPort<Message, Bounds> extends LimitPort<Message, Bounds> {
  /** Returns the VM that takes over if the owner of a team is lost. */
  findSubstitute: (team: string) => string | undefined;
  readFleet: () => FleetView;
  /** Lists the other VMs that are heard from. */
  listServing: () => readonly string[];
  /**
   * Records a message of another VM with the age of its run, if it knows of none that is older. Returns true
   * if the VM was not known to be live.
   */
  recordMessage: (entryVmId: string, youngMs: number | undefined) => boolean;
  /** Age of this run, as long as no run is known that is older than the window. */
  readYoungMs: () => number | undefined;
  /** Returns the VMs that are to be greeted now, and takes them as greeted. */
  takeToGreet: () => readonly string[];
}
