/** Runs the quickstart and prints a summary. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { runPlatformQuickstart } from '@jujubelanding/platform-adapter/quickstart';
import { LocalFleet } from './local-fleet.js';
import { Session } from './session.js';

const ENTRY_VMS = 3;

const ENGINES = 3;

const ITEMS = 20;

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const run = async (fleet: LocalFleet): Promise<void> => {
  print(`starting platform stand-ins, ${ENGINES} model engines and ${ENTRY_VMS} entry VMs`);
  await fleet.start();
  const session = new Session(fleet.callerAddresses());
  await session.awaitReady();
  await session.applyRecords();
  print(`entry VMs ready at ${fleet.callerAddresses().join(', ')}; records in force everywhere`);

  const answer = await session.streamAnswer('Which lens fits a 2014 left side mirror?');
  print(`online answer: ${answer.tokens} tokens, whole=${answer.isWhole}`);

  const job = await session.collectJob(await session.submitJob(ITEMS, 'quickstart-job'));
  print(`batch job ${job.id}: ${job.succeeded} of ${job.items} items succeeded`);
  if (!answer.isWhole || job.succeeded !== ITEMS) throw new Error('the answers are not complete');
};

const main = async (): Promise<void> => {
  const programs = path.dirname(fileURLToPath(import.meta.url));
  const logSelection = process.env.DEBUG;
  const fleet = new LocalFleet({
    programs,
    entryVms: ENTRY_VMS,
    engines: ENGINES,
    ...(logSelection === undefined ? {} : { logSelection }),
  });
  try {
    await run(fleet);
  } catch (thrown) {
    process.exitCode = 1;
    print(`failed: ${String(thrown)}`);
  }
  const codes = await fleet.stop();
  print(`stopped ${codes.length} entry VMs with exit codes ${codes.join(', ')}`);
  if (codes.some((code) => code !== 0)) process.exitCode = 1;
};

const runPlatform = async (): Promise<void> => {
  try {
    await runPlatformQuickstart(print);
  } catch (thrown) {
    process.exitCode = 1;
    print(`failed: ${String(thrown)}`);
  }
};

await (process.argv.includes('--platform') ? runPlatform() : main());
