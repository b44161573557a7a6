/** Reading of results, with checks that none is missing, repeated or cut off. */
import { getErrorMessage, type Fault, FaultCode, Outcome } from '@jujubelanding/errors';
import { JobStatus } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { type Client, Repetition } from '../../client/client.js';
import { createJobPath } from '../../client/jobs.js';
import { type BatchJob, ITEM_RESULT_SCHEMA } from '../../client/schemas.js';
import { parseJson, readLines } from '../../input/files.js';
import type { Sink } from './sink.js';

export interface ItemRange {
  from: number;
  /** Not included. */
  to: number;
}

const MAX_INTERRUPTIONS = 5;
const RESUME_DELAY_MS = 200;

const createFault = (code: FaultCode, message: string): Fault => ({
  code,
  outcome: Outcome.Failed,
  step: 'results',
  message,
});

/** Reads the results of one job into a sink; continues after an interruption. */
export class ResultReader {
  /** Index of the next item that may appear. */
  #next: number;

  #count = 0;

  constructor(
    private readonly client: Client,
    private readonly job: BatchJob,
    private readonly range: ItemRange,
    private readonly sink: Sink,
  ) {
    this.#next = range.from;
  }

  /** Returns the number of results written. */
  async read(): Promise<Result<number, Fault>> {
    for (let interruptions = 0; ; interruptions += 1) {
      const part = await this.#readPart();
      if (part.isOk()) return this.#checkCount();
      const isFinal = part.error.code !== FaultCode.Interrupted || this.client.isDeadlineExceeded();
      if (isFinal || interruptions >= MAX_INTERRUPTIONS) return err(part.error);
      await this.client.sleep(RESUME_DELAY_MS);
    }
  }

  async #readPart(): Promise<Result<void, Fault>> {
    const answer = await this.client.open({
      method: 'GET',
      path: `${createJobPath(this.job.id, 'results')}?from=${this.#next}&to=${this.range.to}`,
      repetition: Repetition.ReadOnly,
    });
    if (answer.isErr()) return err(answer.error);
    try {
      for await (const line of readLines(answer.value.body)) {
        const taken = await this.#takeLine(line);
        if (taken.isErr()) return taken;
      }
      return ok(undefined);
    } catch (thrown) {
      return err(createFault(FaultCode.Interrupted, getErrorMessage(thrown)));
    }
  }

  async #takeLine(line: string): Promise<Result<void, Fault>> {
    const result = ITEM_RESULT_SCHEMA.safeParse(parseJson(line).unwrapOr(undefined));
    if (!result.success) {
      return err(createFault(FaultCode.Interrupted, `result ${this.#next} is cut off or invalid`));
    }
    const { index } = result.data;
    if (index < this.#next || index >= this.range.to) {
      return err(
        createFault(FaultCode.InvalidStream, `result ${index} came where ${this.#next} was due`),
      );
    }
    await this.sink.write(line);
    this.#next = index + 1;
    this.#count += 1;
    return ok(undefined);
  }

  /** A completed job has a result for each item; other jobs have those of committed items. */
  #checkCount(): Result<number, Fault> {
    const expected = this.range.to - this.range.from;
    if (this.job.status === JobStatus.Completed && this.#count < expected) {
      const message = `${this.#count} of ${expected} results arrived although the job is completed`;
      return err(createFault(FaultCode.InvalidStream, message));
    }
    return ok(this.#count);
  }
}
