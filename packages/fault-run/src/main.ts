/** Injects the faults named on the command line, or all of them. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { FaultKind } from './fault-handlers.js';
import { FaultRun } from './fault-run.js';

const all = Object.values(FaultKind);

const main = async (names: readonly string[]): Promise<void> => {
  const unknown = names.filter((name) => !all.includes(name as FaultKind));
  if (unknown.length > 0) {
    process.stderr.write(`unknown: ${unknown.join(', ')}; allowed: ${all.join(', ')}\n`);
    process.exit(2);
  }
  const faults = names.length === 0 ? all : (names as FaultKind[]);
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
