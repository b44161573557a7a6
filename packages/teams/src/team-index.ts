import { computeChecksum } from '@jujubelanding/random';

/** Digest under which a key is looked up, so that comparison time tells nothing about keys. */
export const digestKey = (key: string): string => computeChecksum(key);

export interface TeamKeys<T> {
  team: T;
  keyDigests: readonly string[];
}

/** Finds teams by key. Immutable: a changed configuration gets a new index, so no withdrawn key remains. */
export class TeamIndex<T> {
  private readonly teams = new Map<string, T>();

  constructor(entries: Iterable<TeamKeys<T>>) {
    for (const { team, keyDigests } of entries) {
      keyDigests.forEach((digest) => this.teams.set(digest, team));
    }
  }

  find(key: string): T | undefined {
    return this.teams.get(digestKey(key));
  }
}
