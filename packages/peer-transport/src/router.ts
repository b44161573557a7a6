/** tRPC router with one procedure per peer method. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import { PeerMethod } from '@jujubelanding/peer-protocol';
import { initTRPC, TRPCError } from '@trpc/server';
import { err, ok, type Result } from 'neverthrow';
import { createThrownFault, type HandlerRegistry } from './handler-registry.js';
import { INPUT_SCHEMAS } from './input-schemas.js';

/** A handler's result as sent to the caller. */
export type CallResponse = { value: unknown } | { fault: Fault };

const trpc = initTRPC.create();

const createProcedure = <M extends PeerMethod>(handlers: HandlerRegistry, method: M) =>
  trpc.procedure.input(INPUT_SCHEMAS[method]).mutation(async ({ input }): Promise<CallResponse> => {
    const result = await handlers.runCall(method, input);
    return result.match(
      (value): CallResponse => ({ value }),
      (fault): CallResponse => ({ fault }),
    );
  });

type PeerProcedure = ReturnType<typeof createProcedure>;

/** Creates the router; handlers may be registered later. */
export const createPeerRouter = (handlers: HandlerRegistry) => {
  const procedures = Object.values(PeerMethod).map((method): [PeerMethod, PeerProcedure] => [
    method,
    createProcedure(handlers, method),
  ]);
  return trpc.router(Object.fromEntries(procedures) as Record<PeerMethod, PeerProcedure>);
};

export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Runs a call; a fault result means that the input was rejected or the method is unknown. */
export type CallRunner = (method: string, input: unknown) => Reply<CallResponse>;

const isPeerMethod = (method: string): method is PeerMethod =>
  Object.values<string>(PeerMethod).includes(method);

const createRefusal = (code: FaultCode, step: string, message: string): Result<never, Fault> =>
  err({ code, outcome: Outcome.NotRun, step, message });

/**
 * Creates the function that runs calls on the server. It calls the router directly, because tRPC's HTTP
 * adapter spends most of its time on abort signals that no procedure uses.
 */
export const createCallRunner = (router: PeerRouter): CallRunner => {
  const caller = router.createCaller({});
  return async (method, input) => {
    if (!isPeerMethod(method)) {
      return createRefusal(FaultCode.NotFound, 'call', `no method ${method}`);
    }
    try {
      const procedure = caller[method] as (input: unknown) => Promise<CallResponse>;
      return ok(await procedure(input));
    } catch (thrown) {
      // Only input validation, which precedes the handler, throws BAD_REQUEST; any other error may
      // come from the handler.
      const isInvalidInput = thrown instanceof TRPCError && thrown.code === 'BAD_REQUEST';
      if (!isInvalidInput) return err(createThrownFault(method, thrown));
      return createRefusal(FaultCode.InvalidInput, method, thrown.message);
    }
  };
};
