/** Lookup of teams by the SHA-256 checksum of their key. */
import type { ActiveRecord, Configuration } from '@jujubelanding/interfaces';
import { TeamIndex } from '@jujubelanding/teams';
import { RecordKind } from '@jujubelanding/types';

type TeamRecord = ActiveRecord<RecordKind.Team>;

/** Index over the team records, rebuilt on the first lookup after a change of the active configuration. */
export class TeamKeyIndex {
  private index: TeamIndex<TeamRecord> | undefined;

  constructor(private readonly configuration: Configuration) {
    configuration.onChange(() => {
      this.index = undefined;
    });
  }

  find(key: string): TeamRecord | undefined {
    this.index ??= new TeamIndex(
      this.configuration
        .list(RecordKind.Team)
        .map((team) => ({ team, keyDigests: team.spec.keyHashes })),
    );
    return this.index.find(key);
  }
}
