/** Registry of the call, datagram and segment handlers of this VM. */
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

/** Creates the fault of a call for which no handler is registered. */
export const createMissingHandlerFault = (step: string): Fault => ({
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step,
  message: `no handler for ${step}`,
});

/** Creates the fault of a handler that threw; the handler may have had an effect before it threw. */
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

  /** Runs the handler of a datagram; returns false if none is registered for its kind. */
  runDatagram(datagram: Datagram): boolean {
    const handler = this.datagrams[datagram.kind] as ((datagram: Datagram) => void) | undefined;
    if (handler === undefined) return false;
    handler(datagram);
    return true;
  }
}
