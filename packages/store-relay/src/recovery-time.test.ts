// Guards against configurations that are in force late: a VM whose path to the store has returned kept
// waiting for calls that it had sent before, one after another on its own path and through peers.
import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { silentLog } from '@jujubelanding/log';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService, Reachability } from '@jujubelanding/stand-ins';
import { StoreFollower } from '@jujubelanding/store-follower';
import { VirtualTimer } from '@jujubelanding/timer';
import { err } from 'neverthrow';
import { RelayedStore } from './index.js';

/** Time without faults after which the time limit for changes applies again. */
const CONTACT_MS = 3000;

/** Time within which a change must be known. */
const APPLY_MS = 2000;

const OUTAGE_START_MS = 5000;

/** Time limit of a call through a peer, besides the wait of a watch. */
const RELAY_TIMEOUT_MS = 1000;

const noAnswer = {
  code: FaultCode.Timeout,
  outcome: Outcome.OutcomeUnknown,
  step: 'watch',
  message: 'no answer',
};

enum PeerState {
  Working = 'working',
  /** The store does not answer the peer. */
  Cut = 'cut',
  /** The peer does not answer. */
  Silent = 'silent',
}

/** Returns whether a change that was made after an outage of a VM's path is known in time. */
const knowsChangeInTime = async (outageMs: number, peerState: PeerState): Promise<boolean> => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1), timeoutMs: 700 });
  const direct = service.createClient('vm');
  const peer = service.createClient('peer');
  const relayed = {
    ...peer,
    watch: async (prefix: string, afterRevision: number, waitMs: number) => {
      if (peerState !== PeerState.Silent) return peer.watch(prefix, afterRevision, waitMs);
      await timer.sleep(RELAY_TIMEOUT_MS + waitMs);
      return err(noAnswer);
    },
  };
  const store = new RelayedStore({
    direct,
    relay: () => relayed,
    listPeers: () => ['peer'],
    timer,
    random: createRandom(1),
    log: silentLog,
  });
  const follower = new StoreFollower({
    store,
    timer,
    log: silentLog,
    prefix: 'p/',
    watchMs: APPLY_MS * 0.5,
    pauseMs: 0,
    onChanges: () => {},
  });
  // The calls of other components, which notice a lost path as well.
  timer.every(900, () => {
    void store.renewLease('lease');
  });
  follower.start();
  await timer.advance(OUTAGE_START_MS);
  direct.faults.reachability = Reachability.Cut;
  if (peerState === PeerState.Cut) peer.faults.reachability = Reachability.Cut;
  await timer.advance(outageMs);
  direct.faults.reachability = Reachability.Up;
  await timer.advance(CONTACT_MS - APPLY_MS);
  service.state.commit({ conditions: [], writes: [{ key: 'p/a', value: '1' }], removals: [] });
  await timer.advance(APPLY_MS);
  follower.stop();
  return follower.entries.get('p/a')?.value === '1';
};

const listLateOutages = async (peerState: PeerState): Promise<number[]> => {
  const late: number[] = [];
  for (let outageMs = 50; outageMs <= 8000; outageMs += 50) {
    if (!(await knowsChangeInTime(outageMs, peerState))) late.push(outageMs);
  }
  return late;
};

for (const peerState of Object.values(PeerState)) {
  test(`a VM knows changes in time after any outage of its path, with a ${peerState} peer`, async (t) => {
    t.deepEqual(await listLateOutages(peerState), []);
  });
}
