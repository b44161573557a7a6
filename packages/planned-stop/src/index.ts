/** Decides which requests a stopping VM still accepts. */
export { Admission, type AdmissionOptions, type FleetState } from './admission.js';
export { RequestDurations } from './request-durations.js';
