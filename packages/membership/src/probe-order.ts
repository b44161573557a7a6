/** Randomised round-robin selection of the member to probe. */
import type { Random } from '@jujubelanding/random';
import type { Member } from '@jujubelanding/types';

/** Probes every member once per round, which bounds the time until a failure is detected. */
export class ProbeOrder {
  private round: string[] = [];

  constructor(private readonly random: Random) {}

  /** Returns the next member to probe; skips members that no longer exist. */
  next(members: readonly Member[]): Member | undefined {
    const byId = new Map(members.map((member) => [member.entryVmId, member]));
    for (;;) {
      if (this.round.length === 0) {
        if (members.length === 0) return undefined;
        this.round = this.random.sample([...byId.keys()], members.length);
      }
      const member = byId.get(this.round.pop()!);
      if (member !== undefined) return member;
    }
  }
}
