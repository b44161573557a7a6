/** Differences between the clocks of VMs. */
import type { LogLine } from './log-line.js';

const median = (values: readonly number[]): number =>
  values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/**
 * Estimates how far each clock is ahead, in milliseconds. All VMs learn of a version of the configuration
 * within milliseconds, so that the times of these events show the difference.
 */
export const estimateClocks = (lines: readonly LogLine[]): Map<string, number> => {
  const byVersion = new Map<string, LogLine[]>();
  for (const line of lines.filter(({ event }) => event === 'configuration')) {
    const version = line.fields.version ?? '';
    byVersion.set(version, [...(byVersion.get(version) ?? []), line]);
  }
  const differences = new Map<string, number[]>();
  for (const seen of byVersion.values()) {
    const middle = median(seen.map(({ time }) => time));
    seen.forEach(({ vm, time }) => {
      differences.set(vm, [...(differences.get(vm) ?? []), time - middle]);
    });
  }
  return new Map([...differences].map(([vm, values]) => [vm, median(values)]));
};
