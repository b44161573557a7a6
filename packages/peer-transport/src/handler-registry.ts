/** Handlers of this VM, registered by the parts that serve them. */
import { getErrorMessage, FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type {
  Datagram,
  DatagramHandler,
  DatagramKind,
  PeerCalls,
  PeerHandler,
  PeerMethod,
  PeerNetwork,
} from '@jujubelanding/peer-protocol';
import { err } from 'neverthrow';

export type SegmentHandlers = Parameters<PeerNetwork['handleSegments']>[0];

type CallHandlers = { [M in PeerMethod]?: PeerHandler<M> };

type DatagramHandlers = { [K in DatagramKind]?: DatagramHandler<K> };

/** The fault of a call for which no part of this VM is responsible. */
export const createMissingHandlerFault = (step: string): Fault => ({
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step,
  message: `no handler for ${step}`,
});

/** The fault of a handler that threw; what it did before is not known. */
export const createThrownFault = (step: string, thrown: unknown): Fault => ({
  code: FaultCode.Internal,
  outcome: Outcome.OutcomeUnknown,
  step,
  message: getErrorMessage(thrown),
});

export class HandlerRegistry {
  segments: SegmentHandlers | undefined;

  private readonly calls: CallHandlers = {};

  private readonly datagrams: DatagramHandlers = {};

  setCallHandler<M extends PeerMethod>(method: M, handler: PeerHandler<M>): void {
    Object.assign(this.calls, { [method]: handler });
  }

  setDatagramHandler<K extends DatagramKind>(kind: K, handler: DatagramHandler<K>): void {
    Object.assign(this.datagrams, { [kind]: handler });
  }

  async runCall<M extends PeerMethod>(
    method: M,
    input: PeerCalls[M]['input'],
  ): Reply<PeerCalls[M]['output']> {
    const handler = this.calls[method];
    if (handler === undefined) return err(createMissingHandlerFault(method));
    try {
      return await handler(input);
    } catch (thrown) {
      return err(createThrownFault(method, thrown));
    }
  }

  /** Runs the handler of a datagram; returns false when the kind is not known here. */
  runDatagram(datagram: Datagram): boolean {
    const handler = this.datagrams[datagram.kind] as ((datagram: Datagram) => void) | undefined;
    if (handler === undefined) return false;
    handler(datagram);
    return true;
  }
}
