import type { Fault } from '@jujubelanding/errors';

/** Wraps a fault in an exception, because tRPC reports failures only as exceptions. */
export class FaultError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message);
  }
}
