/** A change of the items' lifetime to 30 days makes the items of accepted jobs never run. */
import console from 'node:console';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createConfiguration, readResults, SERVICE, submit } from '../lib-2/batch.mjs';
import { Deployment, runCase, Verdict } from '../lib-2/deployment.mjs';
import { Store } from '../lib-2/store.mjs';
import { Worker, writeEvents } from '../lib-2/worker.mjs';

const ITEMS = 10;
const EVENTS = 20;
const GAP_MS = 100;

const DAY_S = 24 * 3600;

/** `deadlineS` of the settings. */
const DEADLINE_MS = 18_000;

/** Last part of that time, in which no worker may have had an item of the job for a second. */
const CALM_MS = 5000;

const LONG_RUN_MS = 1000;

const store = new Store();
const deployment = new Deployment(store, path.dirname(fileURLToPath(import.meta.url)));

/** Runs at workers: when each ended, and how long it was. */
const ended = [];

const answer = ({ id, lastEventId, response, head, worker }) => {
  const startedAt = performance.now();
  deployment.record('run-begins', { item: id, lastEventId, worker: worker.id });
  response.once('close', () => {
    const now = performance.now();
    ended.push({ at: now, durationMs: now - startedAt });
    deployment.record('run-ends', { item: id, durationMs: Math.round(now - startedAt) });
  });
  const dataOf = (event) => `${event} of ${id}`;
  writeEvents(response, head, { after: lastEventId ?? 0, count: EVENTS, gapMs: GAP_MS, dataOf });
};

const waitForResults = (vm, job, timeoutMs) =>
  deployment.waitUntil(`results of ${job}`, timeoutMs, async () => {
    await sleep(500);
    return (await readResults(vm, job)).length === ITEMS;
  });

const play = async (isTroubled) => {
  for (const index of [1, 2, 3, 4, 5, 6]) {
    await deployment.addWorker(new Worker(`i-${index}`, { service: SERVICE, answer }));
  }
  for (const zone of ['a', 'b']) await deployment.addVm(`front-${zone}-1`, zone);
  store.put('op/config', createConfiguration());
  await deployment.start();
  const [first, second] = deployment.vms;
  await submit(deployment, first, ITEMS, 'job-before');
  await waitForResults(second, 'job-before', DEADLINE_MS);
  if (isTroubled) {
    store.put('op/config', createConfiguration(7, { itemTtlS: 30 * DAY_S }));
    deployment.record('configuration', { version: 7, itemTtlS: 30 * DAY_S });
    await sleep(3000);
  }
  const submittedAt = performance.now();
  await submit(deployment, first, ITEMS, 'job-after');
  await sleep(DEADLINE_MS);
  const results = await readResults(second, 'job-after');
  const now = performance.now();
  const runs = ended.filter(({ at }) => at > submittedAt);
  const hadItem = runs.some(
    ({ at, durationMs }) => now - at < CALM_MS && durationMs >= LONG_RUN_MS,
  );
  const open = ITEMS - results.length;
  deployment.record('at-deadline', { listed: results.length, open, runs: runs.length, hadItem });
  console.log(`${open} of ${ITEMS} items are open at the deadline, after ${runs.length} runs`);
  return open > 0 && !hadItem ? Verdict.Broken : Verdict.Held;
};

/** TROUBLE=0 leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(deployment, () => play(hasTrouble));
