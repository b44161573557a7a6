/** Decides how long a stopping VM serves callers, and which requests it still accepts. */
export {
  Admission,
  STOP_STEP,
  type AdmissionOptions,
  type FleetState,
  type RequestTime,
} from './admission.js';
export { RequestDurations } from './request-durations.js';
export { selectStaying, type StayingOptions } from './staying-vms.js';
export { decideStop, StopStep, type StopState } from './stop-decision.js';
export { countEnough, countWanted } from './fleet-share.js';
export { compareStops, type StoppingVm } from './stop-order.js';
