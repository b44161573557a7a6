/** Measures the latency that an entry VM adds to the first token of online requests on loopback. */
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { createPool } from '@jujubelanding/http-connections';
import { createBackendServersClient } from '@jujubelanding/platform-clients';
import { SystemTimer } from '@jujubelanding/timer';
import type { Message } from '@jujubelanding/types';
import { LocalFleet, MODEL_NAME } from './local-fleet.js';
import { TEAM_KEY } from './records.js';
import { Session } from './session.js';

const WARM_UP_PAIRS = 50;

/**
 * Pairs between the two measurements, while the code is JIT-compiled; the added p50 fell from 2.3 to
 * 1.1 ms over them.
 */
const COMPILATION_PAIRS = 1000;

const MEASURED_PAIRS = 500;

const TARGET_P50_MS = 1;

const TARGET_P99_MS = 5;

const MAX_TOKENS = 2;

/** Sends one request and returns its time to the first token in milliseconds. */
type LatencyProbe = (requestNumber: number) => Promise<number>;

const createMessages = (requestNumber: number): Message[] => [
  { role: 'user', content: `fit question ${requestNumber}` },
];

const createDirectProbe = (workerId: string, address: string): LatencyProbe => {
  const client = createBackendServersClient({ timer: new SystemTimer() });
  return async (requestNumber) => {
    const startedAt = performance.now();
    let firstTokenMs: number | undefined;
    const generation = {
      requestId: `direct-${requestNumber}`,
      model: MODEL_NAME,
      messages: createMessages(requestNumber),
      maxTokens: MAX_TOKENS,
      resumeTokens: [],
    };
    const reply = await client.generate(
      { id: workerId, address },
      generation,
      () => {
        firstTokenMs ??= performance.now() - startedAt;
      },
      new AbortController().signal,
    );
    if (reply.isErr() || firstTokenMs === undefined) throw new Error('the engine did not respond');
    return firstTokenMs;
  };
};

const createProxiedProbe = (address: string): LatencyProbe => {
  const pool = createPool(`http://${address}`, {});
  const headers = { 'content-type': 'application/json', authorization: `Bearer ${TEAM_KEY}` };
  return async (requestNumber) => {
    const startedAt = performance.now();
    const { statusCode, body } = await pool.request({
      method: 'POST',
      path: '/v1/chat/completions',
      headers,
      body: JSON.stringify({
        model: MODEL_NAME,
        stream: true,
        max_tokens: MAX_TOKENS,
        messages: createMessages(requestNumber),
      }),
    });
    if (statusCode !== 200) throw new Error(`the entry VM responded with ${statusCode}`);
    let firstTokenMs: number | undefined;
    let text = '';
    for await (const chunk of body) {
      text += Buffer.from(chunk as Uint8Array).toString('utf8');
      // The first chunk contains only the role; content starts with the first token.
      if (/"content":"[^"]/.test(text)) firstTokenMs ??= performance.now() - startedAt;
    }
    if (firstTokenMs === undefined) throw new Error('the response has no token');
    return firstTokenMs;
  };
};

const findPercentile = (values: readonly number[], fraction: number): number =>
  values.toSorted((a, b) => a - b)[Math.ceil(values.length * fraction) - 1]!;

interface Samples {
  directMs: number[];
  proxiedMs: number[];
}

/** Sends pairs of a direct and a proxied request, numbered from `start`. */
const runPairs = async (
  direct: LatencyProbe,
  proxied: LatencyProbe,
  start: number,
  count: number,
): Promise<Samples> => {
  const directMs: number[] = [];
  const proxiedMs: number[] = [];
  for (let pairNumber = start; pairNumber < start + count; pairNumber += 1) {
    // Alternating order, so that drift of the machine affects both equally.
    const isDirectFirst = pairNumber % 2 === 0;
    const first = await (isDirectFirst ? direct : proxied)(2 * pairNumber);
    const second = await (isDirectFirst ? proxied : direct)(2 * pairNumber + 1);
    directMs.push(isDirectFirst ? first : second);
    proxiedMs.push(isDirectFirst ? second : first);
  }
  return { directMs, proxiedMs };
};

const printReport = (earlierPairs: number, { directMs, proxiedMs }: Samples): void => {
  const p50 = findPercentile(proxiedMs, 0.5) - findPercentile(directMs, 0.5);
  const p99 = findPercentile(proxiedMs, 0.99) - findPercentile(directMs, 0.99);
  const directP50 = findPercentile(directMs, 0.5);
  process.stdout.write(
    `case=overhead earlierPairs=${earlierPairs} pairs=${MEASURED_PAIRS} directP50Ms=${directP50.toFixed(2)} ` +
      `addedP50Ms=${p50.toFixed(2)} addedP50Ms.target=${TARGET_P50_MS} ` +
      `addedP50Ms.met=${p50 <= TARGET_P50_MS} addedP99Ms=${p99.toFixed(2)} ` +
      `addedP99Ms.target=${TARGET_P99_MS} addedP99Ms.met=${p99 <= TARGET_P99_MS}\n`,
  );
};

/** Measures shortly after the start of the daemon, and again after its code is JIT-compiled. */
const measure = async (direct: LatencyProbe, proxied: LatencyProbe): Promise<void> => {
  let sent = 0;
  for (const earlierPairs of [WARM_UP_PAIRS, COMPILATION_PAIRS]) {
    await runPairs(direct, proxied, sent, earlierPairs);
    sent += earlierPairs;
    printReport(sent, await runPairs(direct, proxied, sent, MEASURED_PAIRS));
    sent += MEASURED_PAIRS;
  }
};

const main = async (): Promise<void> => {
  const programsDirectory = path.dirname(fileURLToPath(import.meta.url));
  const fleet = new LocalFleet({ programsDirectory, entryVms: 2, engines: 1 });
  try {
    await fleet.start();
    const session = new Session(fleet.listCallerAddresses());
    await session.awaitReady();
    await session.applyRecords();
    const [[workerId, address]] = [...fleet.engineAddresses] as [[string, string]];
    const proxied = createProxiedProbe(fleet.listCallerAddresses()[0]!);
    await measure(createDirectProbe(workerId, address), proxied);
  } finally {
    await fleet.stop();
  }
};

await main();
process.exit(0);
