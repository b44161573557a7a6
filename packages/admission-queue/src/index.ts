/** Short queue of online requests at an entry VM, by priority, fairness between teams and arrival. */
export {
  AdmissionQueue,
  type AdmissionQueueOptions,
  type WholeRequestOptions,
} from './admission-queue.js';
export { CHECK_MS, COUNT_AGE_MS } from './fleet-room.js';
export {
  estimateTokens,
  type AdmissionRequest,
  type RefusalLoad,
  type SendPermit,
} from './types.js';
