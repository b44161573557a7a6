/** An entry VM as a process, with the command of the deploy file. */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { call } from './client.mjs';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/** Returns the words of the `run` line of the role `entry-vm` in the deploy file. */
const readRunCommand = () => {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf('[roles.entry-vm]'));
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
};

export class Vm {
  #child;

  constructor(name, settings, folder) {
    Object.assign(this, { name, settings, folder });
    this.file = path.join(folder, `${name}.json`);
    writeFileSync(this.file, JSON.stringify(settings));
    this.address = settings.listen.front;
    this.restarts = 0;
  }

  start() {
    const [command, ...words] = readRunCommand();
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(command === 'node' ? process.execPath : command, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, JUJUBELANDING_SETTINGS: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output = createWriteStream(path.join(this.folder, `${this.name}.log`), { flags: 'a' });
    this.#child.stdout.pipe(output, { end: false });
    this.#child.stderr.pipe(output, { end: false });
    this.exited = new Promise((resolve) => {
      this.#child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  }

  get pid() {
    return this.#child?.pid;
  }

  signal(name) {
    this.#child?.kill(name);
  }

  get isRunning() {
    return (
      this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
    );
  }

  async isReady() {
    try {
      const { status } = await call(
        this.settings.listen.readiness,
        'GET',
        '/readyz',
        {},
        undefined,
        500,
      );
      return status === 200;
    } catch {
      return false;
    }
  }
}
