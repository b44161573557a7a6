/** Choice of the member entries that a datagram carries. */
import type { Random } from '@jujubelanding/random';
import type { Member } from '@jujubelanding/types';
import { Packr } from 'msgpackr';
import type { MemberTable } from './member-table.js';
import type { UpdateQueue } from './update-queue.js';

/** Datagrams are limited to 1,200 bytes; the rest is for the header and the authentication code. */
export const MAX_UPDATE_BYTES = 1050;
/** Entries per datagram, recent changes included. */
const MAX_UPDATES = 6;
/** Sampled entries per datagram; more would exceed the traffic budget of 6 KB/s at 410 VMs. */
const MAX_SAMPLED = 3;

// Inline record structures: field names are written once per datagram, not once per entry.
const packr = new Packr();

interface EntrySize {
  /** Bytes of the entry with its field names. */
  first: number;
  /** Bytes of the entry after another one. */
  next: number;
}

const sizes = new WeakMap<Member, EntrySize>();

const measureEntry = (member: Member): EntrySize => {
  const known = sizes.get(member);
  if (known !== undefined) return known;
  const first = packr.pack([member]).length;
  const size = { first, next: packr.pack([member, member]).length - first };
  sizes.set(member, size);
  return size;
};

export interface PayloadSources {
  table: MemberTable;
  queue: UpdateQueue;
  random: Random;
}

/**
 * Chooses the entries for one receiver: this VM's own, what the receiver must refute, recent changes,
 * then a random sample of others, which repairs updates that were lost.
 */
export const choosePayload = (
  { table, queue, random }: PayloadSources,
  receiver: string | undefined,
  now: number,
): Member[] => {
  const chosen = [table.self];
  let bytes = measureEntry(table.self).first;
  const add = (member: Member | undefined): void => {
    if (member === undefined || chosen.includes(member) || chosen.length >= MAX_UPDATES) return;
    const { next } = measureEntry(member);
    if (bytes + next > MAX_UPDATE_BYTES) return;
    bytes += next;
    chosen.push(member);
  };
  if (receiver !== undefined) add(table.findContested(receiver));
  const recent = queue.ordered().slice(0, MAX_UPDATES);
  recent.forEach((id) => add(table.find(id)));
  // Counted even when it did not fit, so that an entry of unusual size does not stay forever.
  const memberCount = table.liveCount();
  recent.forEach((id) => queue.countSend(id, memberCount));
  random.sample(table.shareable(now), MAX_SAMPLED).forEach(add);
  return chosen;
};
