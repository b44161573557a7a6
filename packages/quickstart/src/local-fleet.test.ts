import { spawnSync } from 'node:child_process';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';
import { LocalFleet, Session, waitFor } from './index.js';

/** Longer than loading a model at the rate limit of the weight store, plus a poll of all workers. */
const LOAD_TIMEOUT_MS = 60_000;

/** Built by `npm ci` and by `npm run build`. */
const PROGRAMS_DIRECTORY = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../../dist',
);

const startFleet = async (
  t: ExecutionContext,
  enginesWithoutModel = 0,
): Promise<{ fleet: LocalFleet; session: Session }> => {
  const fleet = new LocalFleet({
    programsDirectory: PROGRAMS_DIRECTORY,
    entryVms: 3,
    engines: 2,
    enginesWithoutModel,
  });
  // Registered before the start, because processes left by a failed start keep the test run from ending.
  t.teardown(() => fleet.stop());
  await fleet.start();
  const session = new Session(fleet.listCallerAddresses());
  await session.awaitReady();
  await session.applyRecords();
  return { fleet, session };
};

test.serial(
  'a job survives the loss of the entry VM right after its acknowledgement',
  async (t) => {
    const { fleet, session } = await startFleet(t);
    const id = await session.submitJob(300, 'lost-vm');
    fleet.entryVms[0]!.kill();
    const job = await session.awaitJobResults(id);
    t.is(job.items, 300);
    t.is(job.succeeded, 300);
  },
);

test.serial('a planned stop completes a stream in progress and exits with 0', async (t) => {
  const { fleet, session } = await startFleet(t);
  const completion = session.streamCompletion('a long question', 256);
  const code = await fleet.entryVms[0]!.stop();
  t.true((await completion).isComplete);
  t.is(code, 0);
});

test.serial(
  'an engine without a model loads the version that the model record names',
  async (t) => {
    // The model record requires one worker and all engines start without a model, so a completion is only
    // possible after a load.
    const { fleet, session } = await startFleet(t, 2);
    const isLoaded = async (address: string): Promise<boolean> => {
      const { body } = await request(`http://${address}/v1/load`);
      const { versions } = (await body.json()) as { versions: Record<string, string> };
      return versions.advisor === 'advisor-1';
    };
    await waitFor('a loaded engine', LOAD_TIMEOUT_MS, async () => {
      const loaded = await Promise.all([...fleet.engineAddresses.values()].map(isLoaded));
      return loaded.includes(true);
    });
    await waitFor('a complete response', LOAD_TIMEOUT_MS, async () => {
      const completion = await session.streamCompletion('a question').catch(() => undefined);
      return completion?.isComplete === true;
    });
    t.pass();
  },
);

test.serial('invalid settings are reported together and end the daemon with code 2', (t) => {
  const { status, stderr } = spawnSync(
    process.execPath,
    [
      path.join(PROGRAMS_DIRECTORY, 'jujubelandingd.js'),
      '--peer-address',
      'nowhere',
      '--unknown',
      'x',
    ],
    { encoding: 'utf8', env: { PATH: process.env.PATH } },
  );
  t.is(status, 2);
  for (const name of ['--peer-address', '--unknown', '--fleet-key', '--entry-vm-id']) {
    t.true(stderr.includes(name), name);
  }
});
