/** KV caches of streams that have ended or been cancelled, for resuming without prefill. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

const streamStateSchema = z.object({ promptDigest: z.string(), tokens: z.number().int() });

type StreamState = z.infer<typeof streamStateSchema>;

export class StreamCache {
  /** By request id, least recently stored first. */
  private readonly streams = new Map<string, StreamState>();

  constructor(
    private readonly workerId: string,
    private readonly limit: number,
  ) {}

  /** Stores the state of a stream that has generated the given number of tokens. */
  keep(requestId: string, state: StreamState): void {
    this.streams.delete(requestId);
    this.streams.set(requestId, state);
    for (const oldest of this.streams.keys()) {
      if (this.streams.size <= this.limit) return;
      this.streams.delete(oldest);
    }
  }

  /** Returns true when the stored state covers the prompt and the tokens after which the stream resumes. */
  covers(requestId: string, promptDigest: string, tokens: number): boolean {
    const state = this.streams.get(requestId);
    return state?.promptDigest === promptDigest && state.tokens >= tokens;
  }

  export(requestId: string): Result<Uint8Array, Fault> {
    const state = this.streams.get(requestId);
    if (state !== undefined) return ok(Buffer.from(JSON.stringify(state)));
    return this.errNotRun(
      'exportCache',
      FaultCode.NotFound,
      `no KV cache is stored for request ${requestId}`,
    );
  }

  import(requestId: string, cache: Uint8Array): Result<void, Fault> {
    try {
      const state = streamStateSchema.parse(JSON.parse(Buffer.from(cache).toString('utf8')));
      this.keep(requestId, state);
      return ok();
    } catch {
      return this.errNotRun('importCache', FaultCode.InvalidInput, 'the KV cache is unreadable');
    }
  }

  clear(): void {
    this.streams.clear();
  }

  private errNotRun(step: string, code: FaultCode, message: string): Result<never, Fault> {
    return err({ code, outcome: Outcome.NotRun, step, peer: this.workerId, message });
  }
}
