/** One call to a plain service on one worker. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { BackendServers } from '@jujubelanding/platform';
import type { ServiceRequest, ServiceResponse, Worker } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';

/** Runs one call; settles at once on abort. */
export class ServiceAttempt {
  constructor(
    private readonly backendServers: BackendServers,
    private readonly worker: Worker,
    private readonly request: ServiceRequest,
    private readonly signal: AbortSignal,
  ) {}

  async run(): Reply<ServiceResponse> {
    let abort = (): void => {};
    const aborted = new Promise<Result<ServiceResponse, Fault>>((resolve) => {
      abort = () => resolve(err(this.createFault(FaultCode.Cancelled, 'the call was cancelled')));
      if (this.signal.aborted) abort();
      else this.signal.addEventListener('abort', abort, { once: true });
    });
    if (this.signal.aborted) return aborted;
    const pendingReply = this.backendServers.call(this.worker, this.request, this.signal);
    const reply = await Promise.race([pendingReply, aborted]);
    this.signal.removeEventListener('abort', abort);
    return reply
      .andThen((response) => this.validate(response))
      .mapErr((fault) => ({ ...fault, peer: fault.peer ?? this.worker.id }));
  }

  private validate(response: ServiceResponse): Result<ServiceResponse, Fault> {
    if (response.requestId === this.request.requestId) return ok(response);
    const message = `the answer has request id ${response.requestId} instead of ${this.request.requestId}`;
    return err(this.createFault(FaultCode.InvalidStream, message));
  }

  private createFault(code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.OutcomeUnknown, step: 'service-call', message };
  }
}
