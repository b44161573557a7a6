/** Entry point of jujubelandingd: parses the settings, runs the daemon and stops it on a signal. */
import { createLog, enableLogs } from '@jujubelanding/log';
import {
  createHelp,
  EXIT_INVALID_SETTINGS,
  formatFaults,
  isHelpRequested,
  isVersionRequested,
  parseSettings,
  type DaemonSettings,
} from '@jujubelanding/settings';
import { Daemon } from './daemon.js';

const VERSION = '0.1.0';

const EXIT_FAILED = 1;

const stopOnSignals = (daemon: Daemon): void => {
  const log = createLog('daemon');
  let isStopping = false;
  const stop = (signal: string): void => {
    log.write('signal', { signal, repeated: isStopping });
    // A second signal exits immediately, for operators who cannot wait for the planned stop.
    if (isStopping) process.exit(EXIT_FAILED);
    isStopping = true;
    void daemon.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
};

const run = async (settings: DaemonSettings): Promise<void> => {
  enableLogs(settings.logSelection);
  const daemon = new Daemon(settings);
  const started = await daemon.start();
  if (started.isErr()) {
    const { step, peer, message } = started.error;
    process.stderr.write(`start failed: step=${step} peer=${peer ?? ''} ${message}\n`);
    process.exit(EXIT_FAILED);
  }
  const { callerAddress, peerAddress } = started.value;
  process.stdout.write(`listening callerAddress=${callerAddress} peerAddress=${peerAddress}\n`);
  stopOnSignals(daemon);
};

const main = async (argv: readonly string[]): Promise<void> => {
  if (isHelpRequested(argv)) {
    process.stdout.write(createHelp());
    return;
  }
  if (isVersionRequested(argv)) {
    process.stdout.write(`${VERSION}\n`);
    return;
  }
  const settings = parseSettings(argv, process.env);
  if (settings.isErr()) {
    process.stderr.write(formatFaults(settings.error));
    process.exitCode = EXIT_INVALID_SETTINGS;
    return;
  }
  await run(settings.value);
};

await main(process.argv.slice(2));
