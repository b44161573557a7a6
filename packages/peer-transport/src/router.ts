/** tRPC router with one procedure for each method between entry VMs. */
import type { Fault } from '@jujubelanding/errors';
import { PeerMethod } from '@jujubelanding/peer-protocol';
import { initTRPC } from '@trpc/server';
import type { Handlers } from './handlers.js';
import { INPUT_SCHEMAS } from './input-schemas.js';

/** A handler's result as it is sent. */
export type CallAnswer = { value: unknown } | { fault: Fault };

const trpc = initTRPC.create();

const createProcedure = <M extends PeerMethod>(handlers: Handlers, method: M) =>
  trpc.procedure.input(INPUT_SCHEMAS[method]).mutation(async ({ input }): Promise<CallAnswer> => {
    const result = await handlers.runCall(method, input);
    return result.match(
      (value): CallAnswer => ({ value }),
      (fault): CallAnswer => ({ fault }),
    );
  });

type PeerProcedure = ReturnType<typeof createProcedure>;

/** Creates the router; a handler may be registered later. */
export const createPeerRouter = (handlers: Handlers) => {
  const procedures = Object.values(PeerMethod).map((method): [PeerMethod, PeerProcedure] => [
    method,
    createProcedure(handlers, method),
  ]);
  return trpc.router(Object.fromEntries(procedures) as Record<PeerMethod, PeerProcedure>);
};

export type PeerRouter = ReturnType<typeof createPeerRouter>;
