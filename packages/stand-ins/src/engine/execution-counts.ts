/** Counts executions and generated tokens by request id. */

/** Maximum number of request ids that are tracked; the oldest are dropped. */
const MAX_TRACKED_REQUESTS = 1_000_000;

export class ExecutionCounts {
  readonly executions = new Map<string, number>();

  readonly tokens = new Map<string, number>();

  totalExecutions = 0;

  totalTokens = 0;

  countExecution(requestId: string): void {
    this.totalExecutions += 1;
    this.executions.set(requestId, (this.executions.get(requestId) ?? 0) + 1);
    this.dropOldest();
  }

  countToken(requestId: string): void {
    this.totalTokens += 1;
    this.tokens.set(requestId, (this.tokens.get(requestId) ?? 0) + 1);
  }

  private dropOldest(): void {
    if (this.executions.size <= MAX_TRACKED_REQUESTS) return;
    const [oldest] = this.executions.keys();
    if (oldest === undefined) return;
    this.executions.delete(oldest);
    this.tokens.delete(oldest);
  }
}
