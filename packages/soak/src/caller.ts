/** A caller of entry VMs that sees what a real one sees over a connection. */
import type { FleetNode } from '@jujubelanding/simulation';
import { HostState } from '@jujubelanding/simulation';
import type { Outcome, ProblemDetails } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';

export enum ReplyKind {
  /** A whole HTTP response arrived. */
  Answered = 'answered',
  /** Nothing was sent: the address does not accept connections. */
  Refused = 'refused',
  /** The connection ended before the response did, or the caller gave up. */
  Broken = 'broken',
}

export interface CallerReply {
  kind: ReplyKind;
  status: number;
  body: string;
  /** Outcome stated by problem details. */
  outcome?: Outcome;
  /** Id that the system gave the request. */
  requestId?: string;
}

export interface CallerRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body?: string;
}

/** Longer than every time-out of the system, so that only a lost VM breaks a request. */
const CALLER_TIMEOUT_MS = 120_000;

const BROKEN_REPLY: CallerReply = { kind: ReplyKind.Broken, status: 0, body: '' };

const readProblem = (contentType: string, body: string): ProblemDetails | undefined =>
  contentType.startsWith('application/problem+json')
    ? (JSON.parse(body) as ProblemDetails)
    : undefined;

const fetchResponse = async (node: FleetNode, request: CallerRequest): Promise<CallerReply> => {
  const response = await node.entryVm.app.request(`http://entry${request.path}`, {
    method: request.method,
    headers: request.headers,
    ...(request.body === undefined ? {} : { body: request.body }),
  });
  const body = await response.text();
  const problem = readProblem(response.headers.get('content-type') ?? '', body);
  return {
    kind: ReplyKind.Answered,
    status: response.status,
    body,
    ...(problem === undefined ? {} : { outcome: problem.outcome }),
    requestId: response.headers.get('x-request-id') ?? '',
  };
};

/** Runs an exchange over one connection, which breaks when the VM is lost. */
const sendOverConnection = (
  timer: Timer,
  node: FleetNode,
  request: CallerRequest,
): Promise<CallerReply> =>
  new Promise((resolve) => {
    const breakConnection = (): void => resolve(BROKEN_REPLY);
    const removeCrashHandler = node.host.onCrash(breakConnection);
    const timeout = timer.after(CALLER_TIMEOUT_MS, breakConnection);
    node.host.deliver(() => {
      const finish = (reply: CallerReply): void => {
        removeCrashHandler();
        timeout.cancel();
        node.host.deliver(() => resolve(reply));
      };
      // A body that fails in mid-stream ends the connection before the response is whole.
      void fetchResponse(node, request).then(finish, () => finish(BROKEN_REPLY));
    });
  });

/** Sends a request to an entry VM; resolves with what reaches the caller. */
export const sendRequest = async (
  timer: Timer,
  node: FleetNode,
  request: CallerRequest,
): Promise<CallerReply> => {
  const isListening = node.entryVm.isListening() && node.host.state() !== HostState.Crashed;
  if (!isListening) return { kind: ReplyKind.Refused, status: 0, body: '' };
  const connection = sendOverConnection(timer, node, request);
  node.connections.add(connection);
  const reply = await connection;
  node.connections.delete(connection);
  return reply;
};
