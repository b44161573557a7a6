/** Entry point of the quickstart: runs it and prints a summary. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { createAgent } from '@jujubelanding/http-connections';
import { runPlatformQuickstart } from '@jujubelanding/platform-adapter/quickstart';
import { setGlobalDispatcher } from 'undici';
import { LocalFleet } from './local-fleet.js';
import { Session } from './session.js';

const ENTRY_VMS = 3;

const ENGINES = 3;

const JOB_ITEMS = 20;

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const run = async (fleet: LocalFleet): Promise<void> => {
  printLine(`starting platform stand-ins, ${ENGINES} model engines and ${ENTRY_VMS} entry VMs`);
  await fleet.start();
  const session = new Session(fleet.listCallerAddresses());
  await session.awaitReady();
  await session.applyRecords();
  printLine(
    `entry VMs ready at ${fleet.listCallerAddresses().join(', ')}; records in force everywhere`,
  );

  const completion = await session.streamCompletion('Which lens fits a 2014 left side mirror?');
  printLine(`online answer: ${completion.tokens} tokens, whole=${completion.isComplete}`);

  const job = await session.awaitJobResults(await session.submitJob(JOB_ITEMS, 'quickstart-job'));
  printLine(`batch job ${job.id}: ${job.succeeded} of ${job.items} items succeeded`);
  if (!completion.isComplete || job.succeeded !== JOB_ITEMS) {
    throw new Error('the completion or the results are incomplete');
  }
};

const main = async (): Promise<void> => {
  const programsDirectory = path.dirname(fileURLToPath(import.meta.url));
  const logSelection = process.env.DEBUG;
  const fleet = new LocalFleet({
    programsDirectory,
    entryVms: ENTRY_VMS,
    engines: ENGINES,
    ...(logSelection === undefined ? {} : { logSelection }),
  });
  try {
    await run(fleet);
  } catch (thrown) {
    process.exitCode = 1;
    printLine(`the quickstart failed: ${String(thrown)}`);
  }
  const codes = await fleet.stop();
  printLine(`stopped ${codes.length} entry VMs with exit codes ${codes.join(', ')}`);
  if (codes.some((code) => code !== 0)) process.exitCode = 1;
};

const runOnPlatform = async (): Promise<void> => {
  try {
    await runPlatformQuickstart(printLine);
  } catch (thrown) {
    process.exitCode = 1;
    printLine(`the quickstart failed: ${String(thrown)}`);
  }
};

setGlobalDispatcher(createAgent({}));
await (process.argv.includes('--platform') ? runOnPlatform() : main());
