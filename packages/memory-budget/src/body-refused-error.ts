import type { Fault } from '@jujubelanding/errors';

/** Rejects the next read of a body that was refused. */
export class BodyRefusedError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message);
  }
}
