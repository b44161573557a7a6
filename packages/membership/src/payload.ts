/** Selection of the member entries that a datagram carries. */
import type { Random } from '@jujubelanding/random';
import { type Member, MemberState } from '@jujubelanding/types';
import { Packr } from 'msgpackr';
import type { MemberTable } from './member-table.js';
import type { UpdateQueue } from './update-queue.js';

/** Datagrams are limited to 1,200 bytes; the rest is for the header and the authentication tag. */
export const MAX_UPDATE_BYTES = 1050;
/** Maximum number of entries per datagram, including recent changes. */
const MAX_UPDATES = 6;
/** Randomly sampled entries per datagram; more would exceed the traffic budget of 6 KB/s at 410 VMs. */
const MAX_SAMPLED = 2;

// Without record structures, which is the longer of the two encodings that the transport may use.
const packr = new Packr({ useRecords: false });

const sizes = new WeakMap<Member, number>();

/** Returns the encoded size of an entry. */
const measureEntry = (member: Member): number => {
  const size = sizes.get(member) ?? packr.pack(member).length;
  sizes.set(member, size);
  return size;
};

/** Omits the shards of a dead member, which are of no use, so that its entry fits beside large ones. */
const trimDeadEntry = (member: Member): Member =>
  member.state === MemberState.Dead ? { ...member, shards: [] } : member;

const fitsWith = (self: Member, member: Member | undefined): boolean =>
  member !== undefined &&
  measureEntry(self) + measureEntry(trimDeadEntry(member)) <= MAX_UPDATE_BYTES;

export interface PayloadSources {
  table: MemberTable;
  queue: UpdateQueue;
  random: Random;
}

/**
 * Selects the entries for one receiver: this VM's own, the entry that the receiver must refute, recent
 * changes, and then a random sample of others, which repairs lost updates.
 */
export const choosePayload = (
  { table, queue, random }: PayloadSources,
  receiver: string | undefined,
  now: number,
): Member[] => {
  const chosen = [table.self];
  const ids = new Set([table.self.entryVmId]);
  let bytes = measureEntry(table.self);
  const add = (entry: Member | undefined): void => {
    const member = entry && trimDeadEntry(entry);
    if (member === undefined || ids.has(member.entryVmId) || ids.size >= MAX_UPDATES) return;
    const size = measureEntry(member);
    if (bytes + size > MAX_UPDATE_BYTES) return;
    bytes += size;
    ids.add(member.entryVmId);
    chosen.push(member);
  };
  const entryToRefute = receiver === undefined ? undefined : table.findEntryToRefute(receiver);
  // Sent without shards, which the receiver knows itself, so that the entry always fits: the receiver
  // must see a suspicion to refute it.
  if (entryToRefute !== undefined) add({ ...entryToRefute, shards: [] });
  const memberCount = table.liveCount();
  for (const id of queue.listInSendOrder()) {
    const member = table.find(id);
    add(member);
    // An entry that never fits beside this VM's own is counted too, so that it leaves the queue.
    if (ids.has(id) || !fitsWith(table.self, member)) queue.recordSend(id, memberCount);
    if (ids.size >= MAX_UPDATES) break;
  }
  random.sample(table.gossipCandidates(now), MAX_SAMPLED).forEach(add);
  return chosen;
};
