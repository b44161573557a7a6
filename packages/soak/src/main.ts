/** Command-line entry point: runs seeds and prints violations with the command that reproduces them. */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { createLog } from '@jujubelanding/log';
import meow from 'meow';
import { Mutation } from './mutation.js';
import { runSeed, type RunOptions, type RunResult } from './run-seed.js';

const HELP = `
  Usage
    $ npm run soak -- --seed N --steps M [--seeds K] [--jobs J] [--mutation NAME] [--log]

  Options
    --seed      first seed (default 1)
    --steps     steps per seed (default 2000)
    --seeds     number of consecutive seeds (default 1)
    --jobs      number of seeds run in parallel (default 1)
    --mutation  defect to inject into the system: ${Object.values(Mutation).join(', ')}
    --log       write the logs of all entry VMs; filter them with DEBUG
`;

interface CommandLineArguments {
  seed: number;
  steps: number;
  seeds: number;
  jobs: number;
  mutation?: Mutation;
  log: boolean;
}

const parseArguments = (): CommandLineArguments => {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      steps: { type: 'number', default: 2000 },
      seeds: { type: 'number', default: 1 },
      jobs: { type: 'number', default: 1 },
      mutation: { type: 'string', choices: Object.values(Mutation) },
      log: { type: 'boolean', default: false },
    },
  });
  const { mutation, ...rest } = flags;
  return { ...rest, ...(mutation === undefined ? {} : { mutation: mutation as Mutation }) };
};

const formatCounts = (counts: Record<string, number>): string =>
  Object.entries(counts)
    .toSorted(([a], [b]) => a.localeCompare(b))
    .map(([outcome, count]) => `${outcome}=${count}`)
    .join(' ');

const printResult = (result: RunResult, mutation: Mutation | undefined): void => {
  const { seed, steps, violations, trace } = result;
  for (const { invariant, timeMs, detail } of violations) {
    console.log(
      `violation t=${Math.round(timeMs)} invariant=${JSON.stringify(invariant)} ${detail}`,
    );
  }
  if (violations.length > 0) {
    trace.forEach((line) => console.log(`trace ${line}`));
    const suffix = mutation === undefined ? '' : ` --mutation ${mutation}`;
    console.log(`repeat: npm run soak -- --seed ${seed} --steps ${steps}${suffix}`);
  }
  console.log(
    `run seed=${seed} virtual_s=${Math.round(result.virtualMs / 1000)} ` +
      `submitted=${result.submittedJobs} accepted=${result.acceptedJobs} ` +
      `results=${result.resultsRead} ${formatCounts(result.faults)} ${formatCounts(result.replies)}`,
  );
  console.log(`seed=${seed} steps=${steps} violations=${violations.length}`);
};

/** Runs one seed in a child process. */
const runSeedInProcess = (options: RunOptions): Promise<RunResult> =>
  new Promise((resolve, reject) => {
    const child = fork(fileURLToPath(import.meta.url), [], { execArgv: ['--import', 'tsx'] });
    child.once('message', (result) => resolve(result as RunResult));
    child.once('exit', (code) =>
      reject(new Error(`process of seed ${options.seed} exited with code ${code}`)),
    );
    child.send(options);
  });

const runSeeds = async (flags: CommandLineArguments): Promise<number> => {
  const { seed, steps, seeds, jobs, mutation } = flags;
  let nextSeed = seed;
  let violationCount = 0;
  const runNext = async (): Promise<void> => {
    while (nextSeed < seed + seeds) {
      const options: RunOptions = {
        seed: nextSeed,
        steps,
        ...(mutation === undefined ? {} : { mutation }),
      };
      nextSeed += 1;
      const result = await runSeedInProcess(options);
      violationCount += result.violations.length;
      printResult(result, mutation);
    }
  };
  await Promise.all(Array.from({ length: jobs }, runNext));
  return violationCount;
};

const runSingleSeed = async (flags: CommandLineArguments): Promise<number> => {
  const { seed, steps, mutation, log } = flags;
  const result = await runSeed({
    seed,
    steps,
    ...(mutation === undefined ? {} : { mutation }),
    ...(log ? { createLog: (entryVmId) => (part) => createLog(`${entryVmId}:${part}`) } : {}),
  });
  printResult(result, mutation);
  return result.violations.length;
};

const runFromCommandLine = async (): Promise<void> => {
  const flags = parseArguments();
  const violations = flags.seeds === 1 ? await runSingleSeed(flags) : await runSeeds(flags);
  if (flags.seeds > 1) {
    console.log(`seeds=${flags.seeds} steps=${flags.steps} violations=${violations}`);
  }
  process.exit(violations > 0 ? 1 : 0);
};

/** Runs the seed that the parent process sends. */
const runForParent = (): void => {
  process.once('message', (options) => {
    void runSeed(options as RunOptions).then((result) => {
      process.send!(result, () => process.exit(0));
    });
  });
};

if (process.send === undefined) await runFromCommandLine();
else runForParent();
