/** Injects the faults named on the command line, or all of them. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { FaultKind } from './fault-handlers.js';
import { FaultRun } from './fault-run.js';

const ALL_FAULTS = Object.values(FaultKind);

const main = async (names: readonly string[]): Promise<void> => {
  const unknownNames = names.filter((name) => !ALL_FAULTS.includes(name as FaultKind));
  if (unknownNames.length > 0) {
    process.stderr.write(
      `unknown faults: ${unknownNames.join(', ')}; allowed: ${ALL_FAULTS.join(', ')}\n`,
    );
    process.exit(2);
  }
  const faults = names.length === 0 ? ALL_FAULTS : (names as FaultKind[]);
  const programsDirectory = path.dirname(fileURLToPath(import.meta.url));
  const print = (line: string): void => {
    process.stdout.write(`${line}\n`);
  };
  const problems = await new FaultRun({ programsDirectory, faults, print }).run();
  problems.forEach((problem) => print(`wrong: ${problem}`));
  print(`faults=${faults.length} wrong=${problems.length}`);
  process.exit(problems.length === 0 ? 0 : 1);
};

await main(process.argv.slice(2));
