/** A progress bar for people. */
import { SingleBar } from 'cli-progress';
import { Format, type Output } from './output.js';

export interface Progress {
  update(done: number): void;
  stop(): void;
}

const NO_PROGRESS: Progress = { update: () => {}, stop: () => {} };

/** Draws a bar on a terminal; does nothing elsewhere, where it would fill logs with control codes. */
export const createProgress = ({ terminal, format }: Output, total: number): Progress => {
  if (terminal === undefined || format === Format.Json) return NO_PROGRESS;
  const bar = new SingleBar({
    stream: terminal,
    format: '{bar} {percentage}% {value}/{total} items',
    hideCursor: true,
  });
  bar.start(total, 0);
  return { update: (done) => bar.update(done), stop: () => bar.stop() };
};
