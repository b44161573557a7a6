/** A VM's copy of the shared values. Times are passed in. */
import type { SharedValue, SharedValueVersion } from '@jujubelanding/peer-protocol';

/** Bounds the memory that peers can take; a fleet in trouble has a few values for each VM. */
export const MAX_VALUES = 4096;

interface Entry extends Omit<SharedValue, 'ageMs' | 'remainingMs'> {
  /** Time of the write on this VM's clock. */
  since: number;
  expiresAt: number;
}

type Version = Pick<Entry, 'version' | 'writer'>;

const isNewer = (a: Version, b: Version | undefined): boolean =>
  b === undefined || a.version > b.version || (a.version === b.version && a.writer > b.writer);

export class SharedValues {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly writer: string) {}

  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Returns the version of a value; 0 if there is none. */
  readVersion(key: string): number {
    return this.entries.get(key)?.version ?? 0;
  }

  /** Writes a value; returns its version. */
  set(key: string, value: string, lifetimeMs: number, now: number): number {
    const version = this.readVersion(key) + 1;
    const { writer } = this;
    const times = { writtenAt: now, since: now, expiresAt: now + lifetimeMs };
    this.entries.set(key, { key, value, version, writer, ...times });
    return version;
  }

  /** Takes over the values of a peer that are newer than the own ones, and returns these. */
  merge(values: readonly SharedValue[], now: number): SharedValue[] {
    return values.filter((value) => {
      const known = this.entries.get(value.key);
      if (value.remainingMs <= 0 || !isNewer(value, known)) return false;
      if (known === undefined && this.entries.size >= MAX_VALUES) return false;
      const { ageMs, remainingMs, ...content } = value;
      const times = { since: now - ageMs, expiresAt: now + remainingMs };
      this.entries.set(value.key, { ...content, ...times });
      return true;
    });
  }

  listVersions(): SharedValueVersion[] {
    return [...this.entries.values()].map(({ key, version, writer }) => [key, version, writer]);
  }

  /** Returns the values under the keys. */
  read(keys: readonly string[], now: number): SharedValue[] {
    return keys.flatMap((key) => {
      const entry = this.entries.get(key);
      return entry === undefined ? [] : [this.toValue(entry, now)];
    });
  }

  /** Returns the values that a peer with these versions lacks. */
  selectNewer(versions: readonly SharedValueVersion[], now: number): SharedValue[] {
    const known = new Map(
      versions.map(([key, version, writer]): [string, Version] => [key, { version, writer }]),
    );
    return [...this.entries.values()]
      .filter((entry) => isNewer(entry, known.get(entry.key)))
      .map((entry) => this.toValue(entry, now));
  }

  /** Returns the keys of which a peer with these versions has newer values. */
  listMissing(versions: readonly SharedValueVersion[]): string[] {
    return versions
      .filter(([key, version, writer]) => isNewer({ version, writer }, this.entries.get(key)))
      .map(([key]) => key);
  }

  /** Removes expired values and returns their keys. */
  expire(now: number): string[] {
    const expired = [...this.entries.values()].filter(({ expiresAt }) => expiresAt <= now);
    expired.forEach(({ key }) => this.entries.delete(key));
    return expired.map(({ key }) => key);
  }

  private toValue({ since, expiresAt, ...content }: Entry, now: number): SharedValue {
    return { ...content, ageMs: now - since, remainingMs: expiresAt - now };
  }
}
