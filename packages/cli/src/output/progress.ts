/** Progress bar on a terminal. */
import { SingleBar } from 'cli-progress';
import { OutputFormat, type Output } from './output.js';

export interface ProgressIndicator {
  update(completed: number): void;
  stop(): void;
}

const NOOP_PROGRESS: ProgressIndicator = { update: () => {}, stop: () => {} };

/** Draws a bar on a terminal; does nothing elsewhere, to keep control codes out of logs. */
export const createProgress = ({ terminal, format }: Output, total: number): ProgressIndicator => {
  if (terminal === undefined || format === OutputFormat.Json) return NOOP_PROGRESS;
  const bar = new SingleBar({
    stream: terminal,
    format: '{bar} {percentage}% {value}/{total} items',
    hideCursor: true,
  });
  bar.start(total, 0);
  return { update: (completed) => bar.update(completed), stop: () => bar.stop() };
};
