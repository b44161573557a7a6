/** Client of the local fleet that acts as an operator and as a caller. */
import { setTimeout as sleep } from 'node:timers/promises';
import { computeChecksum } from '@jujubelanding/random';
import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import { MODEL_NAME, OPERATOR_TOKEN } from './local-fleet.js';
import { RECORDS, TEAM_KEY } from './records.js';

const POLL_INTERVAL_MS = 200;

const READY_TIMEOUT_MS = 30_000;

const JOB_TIMEOUT_MS = 60_000;

const JSON_HEADERS = { 'content-type': 'application/json' };

const OPERATOR_HEADERS = { ...JSON_HEADERS, authorization: `Bearer ${OPERATOR_TOKEN}` };

/** Polls a condition until it holds; throws after the timeout. */
export const waitFor = async (
  description: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<void> => {
  const deadline = Date.now() + timeoutMs;
  while (!(await check())) {
    if (Date.now() > deadline) {
      throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
};

export interface StreamedCompletion {
  text: string;
  tokens: number;
  /** True if the stream ended with the `[DONE]` event. */
  isComplete: boolean;
}

export interface OperatorRecord {
  kind: string;
  name: string;
  schemaVersion: number;
  spec: object;
}

export interface JobSummary {
  id: string;
  /** Checksum of the results as read. */
  digest: string;
  /** Number of distinct items that have a result. */
  items: number;
  succeeded: number;
  failed: number;
}

interface JobResource {
  id: string;
  status: string;
}

export class Session {
  constructor(private readonly addresses: readonly string[]) {}

  /** Waits until all entry VMs are ready. */
  async awaitReady(): Promise<void> {
    for (const address of this.addresses) {
      await waitFor(`readiness of ${address}`, READY_TIMEOUT_MS, async () => {
        const { statusCode, body } = await request(`http://${address}/readyz`);
        await body.dump();
        return statusCode === 200;
      });
    }
  }

  /** Writes the records of the local fleet and waits until they are in force on all entry VMs. */
  async applyRecords(): Promise<void> {
    for (const record of RECORDS) await this.applyRecord(record);
    await this.awaitRecordsActive();
  }

  /** Creates one record; throws if it is rejected. */
  async applyRecord({ kind, name, schemaVersion, spec }: OperatorRecord): Promise<void> {
    const response = await request(this.buildUrl(`/admin/v1/records/${kind}/${name}`), {
      method: 'PUT',
      headers: OPERATOR_HEADERS,
      body: JSON.stringify({ schemaVersion, spec, expectedRevision: 0 }),
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) throw new Error(`record ${kind}/${name} was rejected: ${text}`);
  }

  /** Waits until all accepted records are in force on all entry VMs. */
  awaitRecordsActive(): Promise<void> {
    return waitFor('records in force everywhere', READY_TIMEOUT_MS, async () => {
      const { body } = await request(this.buildUrl('/admin/v1/status'), {
        headers: OPERATOR_HEADERS,
      });
      const status = (await body.json()) as { inForceEverywhere: boolean };
      return status.inForceEverywhere;
    });
  }

  /** Streams a chat completion through the first entry VM. */
  async streamCompletion(question: string, maxTokens = 24): Promise<StreamedCompletion> {
    const { statusCode, body } = await request(this.buildUrl('/v1/chat/completions'), {
      method: 'POST',
      headers: { ...JSON_HEADERS, authorization: `Bearer ${TEAM_KEY}` },
      body: JSON.stringify({
        model: MODEL_NAME,
        stream: true,
        max_tokens: maxTokens,
        messages: [{ role: 'user', content: question }],
      }),
    });
    if (statusCode !== 200) throw new Error(`chat returned ${statusCode}: ${await body.text()}`);
    const completion: StreamedCompletion = { text: '', tokens: 0, isComplete: false };
    const parser = createParser({
      onEvent: ({ data }) => {
        if (data === '[DONE]') {
          completion.isComplete = true;
          return;
        }
        const { choices } = JSON.parse(data) as { choices: { delta: { content?: string } }[] };
        const content = choices[0]?.delta.content;
        if (content === undefined || content === '') return;
        completion.text += content;
        completion.tokens += 1;
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
    }
    return completion;
  }

  /** Submits a batch job through the first entry VM; resolves once it is acknowledged. */
  async submitJob(itemCount: number, idempotencyKey: string): Promise<string> {
    const items = Array.from({ length: itemCount }, (_, index) =>
      JSON.stringify({
        itemId: `sheet-${index}`,
        messages: [{ role: 'user', content: `match sheet for mirror ${index}` }],
        maxTokens: 32,
      }),
    );
    const submitted = await request(this.buildUrl(`/v1/batches?model=${MODEL_NAME}`), {
      method: 'POST',
      headers: {
        authorization: `Bearer ${TEAM_KEY}`,
        'content-type': 'application/x-ndjson',
        'idempotency-key': idempotencyKey,
      },
      body: items.join('\n'),
    });
    const text = await submitted.body.text();
    if (submitted.statusCode >= 300) throw new Error(`the batch job was rejected: ${text}`);
    return (JSON.parse(text) as JobResource).id;
  }

  /** Waits for the completion of a job and reads its results, both through the last entry VM. */
  async awaitJobResults(id: string): Promise<JobSummary> {
    await waitFor(`end of job ${id}`, JOB_TIMEOUT_MS, async () => {
      const { statusCode, body } = await this.get(`/v1/batches/${id}`);
      const text = await body.text();
      return statusCode === 200 && (JSON.parse(text) as JobResource).status === 'completed';
    });
    const { body } = await this.get(`/v1/batches/${id}/results`);
    const text = await body.text();
    const results = text
      .split('\n')
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as { index: number; status: string });
    const succeeded = results.filter(({ status }) => status === 'succeeded').length;
    const items = new Set(results.map(({ index }) => index)).size;
    const digest = computeChecksum(text);
    return { id, digest, items, succeeded, failed: results.length - succeeded };
  }

  private get(path: string) {
    const address = this.addresses.at(-1)!;
    const headers = { authorization: `Bearer ${TEAM_KEY}` };
    return request(`http://${address}${path}`, { headers });
  }

  private buildUrl(path: string): string {
    return `http://${this.addresses[0]!}${path}`;
  }
}
