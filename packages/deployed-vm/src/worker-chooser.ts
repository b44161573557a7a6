/** Settings of the choice of workers for engines that know no priorities. */
import type { FleetLoad } from '@jujubelanding/fleet-load';
import {
  createLoadAwareChooser,
  DEFAULT_CHOOSER_SETTINGS,
  type Candidate,
  type Chooser,
} from '@jujubelanding/routing';

/**
 * Engines admit requests in order of arrival, so a request waits until a batch item is preempted for it,
 * but much shorter than for another online request.
 */
const CHOOSER_SETTINGS = { ...DEFAULT_CHOOSER_SETTINGS, batchWeight: 0.3 };

/**
 * In a large fleet counts are older. If each VM chose the least loaded of all workers, they would all
 * choose the same ones, so each compares a few workers at random.
 */
const SAMPLING_CHOOSER_SETTINGS = { ...CHOOSER_SETTINGS, fullScanLimit: 3 };

/** A worker that has just become fast attracts the requests of all VMs, however old the counts are. */
const haveSpeeds = (candidates: readonly Candidate[]): boolean =>
  candidates.some(({ speed }) => speed !== undefined);

/** Creates the chooser, which depends on how old the counts of the fleet are. */
export const createChooser = (loads: Pick<FleetLoad, 'isGrouped'>): Chooser => {
  const chooseFromAll = createLoadAwareChooser(CHOOSER_SETTINGS);
  const chooseFromSample = createLoadAwareChooser(SAMPLING_CHOOSER_SETTINGS);
  return (candidates, context) => {
    const isSampled = loads.isGrouped || haveSpeeds(candidates);
    return (isSampled ? chooseFromSample : chooseFromAll)(candidates, context);
  };
};
