import type { Fault } from '@jujubelanding/errors';

/** A fault on its way through tRPC, which knows exceptions only. */
export class FaultError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message);
  }
}
