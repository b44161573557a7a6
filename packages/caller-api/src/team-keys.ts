/** Lookup of teams by the SHA-256 checksum of their key. */
import type { ActiveRecord, Configuration } from '@jujubelanding/interfaces';
import { RecordKind } from '@jujubelanding/types';

/** Index over the team records, rebuilt on the first lookup after a change of the active configuration. */
export class TeamKeyIndex {
  private readonly teams = new Map<string, ActiveRecord<RecordKind.Team>>();

  private isCurrent = false;

  constructor(private readonly configuration: Configuration) {
    configuration.onChange(() => {
      this.isCurrent = false;
    });
  }

  find(keyHash: string): ActiveRecord<RecordKind.Team> | undefined {
    if (!this.isCurrent) this.rebuild();
    return this.teams.get(keyHash);
  }

  private rebuild(): void {
    this.teams.clear();
    for (const team of this.configuration.list(RecordKind.Team)) {
      team.spec.keyHashes.forEach((keyHash) => this.teams.set(keyHash, team));
    }
    this.isCurrent = true;
  }
}
