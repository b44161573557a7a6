/** A progress bar for people. */
import { SingleBar } from 'cli-progress';
import { OutputFormat, type Output } from './output.js';

export interface ProgressIndicator {
  update(done: number): void;
  stop(): void;
}

const NOOP_PROGRESS: ProgressIndicator = { update: () => {}, stop: () => {} };

/** Draws a bar on a terminal; does nothing elsewhere, where it would fill logs with control codes. */
export const createProgress = ({ terminal, format }: Output, total: number): ProgressIndicator => {
  if (terminal === undefined || format === OutputFormat.Json) return NOOP_PROGRESS;
  const bar = new SingleBar({
    stream: terminal,
    format: '{bar} {percentage}% {value}/{total} items',
    hideCursor: true,
  });
  bar.start(total, 0);
  return { update: (done) => bar.update(done), stop: () => bar.stop() };
};
