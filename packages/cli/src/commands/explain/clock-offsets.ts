/** Estimates the clock offsets between VMs. */
import type { LogLine } from './log-line.js';

const median = (values: readonly number[]): number =>
  values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/**
 * Estimates how far the clock of each VM is ahead, in milliseconds. All VMs receive a version of the
 * configuration within milliseconds, so the times of these events differ by the clock offsets.
 */
export const estimateClockOffsets = (lines: readonly LogLine[]): Map<string, number> => {
  const linesByVersion = new Map<string, LogLine[]>();
  for (const line of lines.filter(({ event }) => event === 'configuration')) {
    const version = line.fields.version ?? '';
    linesByVersion.set(version, [...(linesByVersion.get(version) ?? []), line]);
  }
  const offsetsByVm = new Map<string, number[]>();
  for (const versionLines of linesByVersion.values()) {
    const medianTime = median(versionLines.map(({ time }) => time));
    versionLines.forEach(({ vm, time }) => {
      offsetsByVm.set(vm, [...(offsetsByVm.get(vm) ?? []), time - medianTime]);
    });
  }
  return new Map([...offsetsByVm].map(([vm, values]) => [vm, median(values)]));
};
