import { silentLog } from '@jujubelanding/log';
import { type Member, MemberState } from '@jujubelanding/types';
import { VirtualTimer } from '@jujubelanding/timer';
import test from 'ava';
import { chooseMembers, EntryPointsController } from './index.js';

const createMember = (index: number, changes: Partial<Member> = {}): Member => ({
  entryVmId: `vm-${index}`,
  bootId: 'boot',
  incarnation: 1,
  state: MemberState.Alive,
  peerAddress: `10.0.0.${index}:7000`,
  callerAddress: `10.0.0.${index}:8000`,
  availabilityZone: `zone-${index % 4}`,
  hasDisk: false,
  heldRevision: 0,
  activeRevision: 0,
  onlineLoad: 0,
  shards: [],
  ...changes,
});

const onChange = () => ({ cancel: () => {} });

const members = Array.from({ length: 8 }, (_, index) => createMember(index));

test("the caller's zone comes first and the last address is in another zone", (t) => {
  for (let caller = 0; caller < 50; caller += 1) {
    const choice = { caller: `caller-${caller}`, availabilityZone: 'zone-1', count: 3 };
    const zones = chooseMembers(members, choice).map(({ availabilityZone }) => availabilityZone);
    t.deepEqual(zones.slice(0, 2), ['zone-1', 'zone-1']);
    t.not(zones[2], 'zone-1');
  }
});

test('a leaving, suspect or dead VM is never chosen', (t) => {
  const states = [MemberState.Leaving, MemberState.Suspect, MemberState.Dead];
  const mixed = members.map((member, index) => ({
    ...member,
    state: states[index] ?? MemberState.Alive,
  }));
  for (let caller = 0; caller < 50; caller += 1) {
    const chosen = chooseMembers(mixed, { caller: `caller-${caller}`, count: 8 });
    t.is(chosen.length, 5);
    t.true(chosen.every(({ state }) => state === MemberState.Alive));
  }
});

test('a loaded VM is the first address of fewer callers, and other callers keep theirs', (t) => {
  const loaded = members.map((member, index) =>
    index === 3 ? { ...member, onlineLoad: 48 } : member,
  );
  let before = 0;
  let after = 0;
  for (let caller = 0; caller < 4000; caller += 1) {
    const choice = { caller: `caller-${caller}`, count: 1 };
    const first = chooseMembers(members, choice)[0]!.entryVmId;
    const second = chooseMembers(loaded, choice)[0]!.entryVmId;
    if (first === 'vm-3') before += 1;
    if (second === 'vm-3') after += 1;
    if (first !== 'vm-3') t.is(second, first);
  }
  t.true(before > 400 && before < 600, `${before} of 4000 before`);
  t.true(after > 80 && after < 220, `${after} of 4000 after`);
});

test('with no live VM the answer is empty', (t) => {
  const entryPoints = new EntryPointsController({
    io: { createLog: () => silentLog, timer: new VirtualTimer() },
    settings: { entryPointLifetimeMs: 30_000 },
    membership: { members: () => [], onChange },
  });
  t.deepEqual(entryPoints.choose('caller'), { entryPoints: [], lifetimeMs: 30_000 });
});

const startController = (listMembers: () => Member[]) => {
  const timer = new VirtualTimer();
  let notify = (): void => {};
  const entryPoints = new EntryPointsController({
    io: { createLog: () => silentLog, timer },
    settings: { entryPointLifetimeMs: 30_000 },
    membership: {
      members: listMembers,
      onChange: (handler) => {
        notify = handler;
        return { cancel: () => {} };
      },
    },
    count: 8,
  });
  entryPoints.start();
  const choose = () => {
    const { entryPoints: chosen, lifetimeMs } = entryPoints.choose('caller');
    return { addresses: chosen.map(({ address }) => address).toSorted(), lifetimeMs };
  };
  return { timer, choose, notify: () => notify() };
};

const listAddresses = (list: readonly Member[]) =>
  list.map(({ callerAddress }) => callerAddress).toSorted();

// Guards against callers without an address while all VMs are stopped together: the answer was empty although
// the VMs served for the lifetime of earlier answers.
test('while all VMs leave, callers get leaving ones, for a short time', (t) => {
  const states = [MemberState.Leaving, MemberState.Suspect, MemberState.Dead];
  const stopping = members.map((member, index) => ({ ...member, state: states[index % 3]! }));
  const leaving = stopping.filter(({ state }) => state === MemberState.Leaving);
  let current: Member[] = stopping;
  const { choose } = startController(() => current);
  const { addresses, lifetimeMs } = choose();
  t.true(addresses.length >= leaving.length / 2);
  t.true(addresses.every((address) => listAddresses(leaving).includes(address)));
  t.is(lifetimeMs, 1000);
  const returned = [createMember(9), createMember(10), createMember(11)];
  current = [...stopping, ...returned];
  t.deepEqual(choose(), { addresses: listAddresses(returned), lifetimeMs: 30_000 });
});

// A VM that has left for longer than the lifetime of answers accepts no connections.
test('of leaving VMs, callers get those that serve longest', async (t) => {
  let current = members.slice(0, 4);
  const { timer, choose, notify } = startController(() => current);
  for (const [index, member] of current.entries()) {
    current = current.with(index, { ...member, state: MemberState.Leaving });
    notify();
    await timer.advance(10_000);
  }
  t.deepEqual(choose().addresses, listAddresses(members.slice(2, 4)));
  await timer.advance(15_000);
  t.deepEqual(choose().addresses, listAddresses(members.slice(3, 4)));
});
