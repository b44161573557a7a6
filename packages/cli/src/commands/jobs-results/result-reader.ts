/** Reads the results of a batch job and checks that none is missing, duplicated or truncated. */
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
  /** Exclusive. */
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

/** Writes the results of one job to a sink; resumes after an interruption. */
export class ResultReader {
  /** Lowest index that the next result may have. */
  #nextIndex: number;

  #count = 0;

  constructor(
    private readonly client: Client,
    private readonly job: BatchJob,
    private readonly range: ItemRange,
    private readonly sink: Sink,
  ) {
    this.#nextIndex = range.from;
  }

  /** Returns the number of results written. */
  async read(): Promise<Result<number, Fault>> {
    for (let interruptions = 0; ; interruptions += 1) {
      const stream = await this.#readStream();
      if (stream.isOk()) return this.#checkCount();
      const isFinal =
        stream.error.code !== FaultCode.Interrupted || this.client.isDeadlineExceeded();
      if (isFinal || interruptions >= MAX_INTERRUPTIONS) return err(stream.error);
      await this.client.sleep(RESUME_DELAY_MS);
    }
  }

  async #readStream(): Promise<Result<void, Fault>> {
    const response = await this.client.open({
      method: 'GET',
      path: `${createJobPath(this.job.id, 'results')}?from=${this.#nextIndex}&to=${this.range.to}`,
      repetition: Repetition.ReadOnly,
    });
    if (response.isErr()) return err(response.error);
    try {
      for await (const line of readLines(response.value.body)) {
        const handled = await this.#handleLine(line);
        if (handled.isErr()) return handled;
      }
      return ok(undefined);
    } catch (thrown) {
      return err(createFault(FaultCode.Interrupted, getErrorMessage(thrown)));
    }
  }

  async #handleLine(line: string): Promise<Result<void, Fault>> {
    const result = ITEM_RESULT_SCHEMA.safeParse(parseJson(line).unwrapOr(undefined));
    if (!result.success) {
      return err(
        createFault(FaultCode.Interrupted, `result ${this.#nextIndex} is truncated or invalid`),
      );
    }
    const { index } = result.data;
    if (index < this.#nextIndex || index >= this.range.to) {
      return err(
        createFault(
          FaultCode.InvalidStream,
          `result ${index} arrived where ${this.#nextIndex} was expected`,
        ),
      );
    }
    await this.sink.write(line);
    this.#nextIndex = index + 1;
    this.#count += 1;
    return ok(undefined);
  }

  /** A completed job has a result for each item; other jobs only have results of committed items. */
  #checkCount(): Result<number, Fault> {
    const expected = this.range.to - this.range.from;
    if (this.job.status === JobStatus.Completed && this.#count < expected) {
      const message = `${this.#count} of ${expected} results arrived although the job is completed`;
      return err(createFault(FaultCode.InvalidStream, message));
    }
    return ok(this.#count);
  }
}
