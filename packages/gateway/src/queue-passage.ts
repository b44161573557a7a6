/** Passes the sends of one request through the admission queue of this VM. */
import {
  estimateTokens,
  type AdmissionQueue,
  type AdmissionRequest,
  type SendPermit,
} from '@jujubelanding/admission-queue';
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { ReportedLoad, WorkerFault } from '@jujubelanding/platform';
import { RouteKind, type Route } from '@jujubelanding/route-table';
import type { InboundRequest } from './caller-exchange.js';

export type RequestQueue = Pick<AdmissionQueue, 'isActive' | 'admit' | 'returnRefused'>;

/**
 * Returns the load with which a worker without a queue refused a request because all its slots were busy;
 * undefined for all other faults.
 */
const readFullRefusal = (fault: WorkerFault | undefined): ReportedLoad | undefined => {
  if (fault?.code !== FaultCode.Overloaded || fault.outcome !== Outcome.NotRun) return undefined;
  const { load } = fault;
  if (load === undefined || load.slots <= 0) return undefined;
  if (load.waiting > 0 || load.running < load.slots) return undefined;
  return load;
};

/** Returns what the queue has to know about a request. */
export const toAdmissionRequest = (
  { requestId, arrivedAt, body, team }: InboundRequest,
  { kind, priority, objectiveMs }: Route,
  rest: Pick<AdmissionRequest, 'service' | 'deadline' | 'signal' | 'refuseByStop'>,
): AdmissionRequest => ({
  ...rest,
  requestId,
  isStream: kind === RouteKind.Streaming,
  team,
  priority,
  tokens: estimateTokens(body.length),
  arrivedAt,
  objectiveMs,
});

export class QueuePassage {
  private permit: SendPermit | undefined;

  /** Load with which the last send was refused as full. */
  private refusal: ReportedLoad | undefined;

  private refusedBy = '';

  constructor(
    private readonly queue: RequestQueue | undefined,
    private readonly request: AdmissionRequest,
  ) {}

  /** Workers to which the request is not sent now; undefined if the router chooses among all. */
  get avoided(): ReadonlySet<string> | undefined {
    return this.permit?.avoided;
  }

  /** Resolves with a fault if the request is refused; returns undefined if it may be sent at once. */
  enter(): Promise<Fault | undefined> | undefined {
    const { queue, request, refusal } = this;
    if (queue === undefined) return undefined;
    this.refusal = undefined;
    if (refusal !== undefined) {
      return this.wait(queue.returnRefused(request, refusal, this.refusedBy));
    }
    return queue.isActive(request) ? this.wait(queue.admit(request)) : undefined;
  }

  /** Records data of the send in progress; the first of an engine tells how long it takes to begin. */
  recordData(): void {
    if (this.request.isStream) this.permit?.recordFirstEvent();
  }

  /** Ends a send. Returns true if a worker without a queue refused it, so that it is sent again later. */
  leave(fault: WorkerFault | undefined, workerId?: string): boolean {
    this.refusedBy = workerId ?? '';
    const { permit } = this;
    this.permit = undefined;
    const isQueued = this.queue !== undefined && !this.request.isStream;
    this.refusal = isQueued ? readFullRefusal(fault) : undefined;
    if (this.refusal !== undefined) return true;
    // A send that failed neither frees a slot nor tells how long work takes.
    permit?.release(fault === undefined ? workerId : undefined);
    return false;
  }

  private async wait(reply: Reply<SendPermit>): Promise<Fault | undefined> {
    const result = await reply;
    if (result.isErr()) return result.error;
    this.permit = result.value;
    return undefined;
  }
}
