/** Scheduling policy based on the active operator records. */
import type { Configuration } from '@jujubelanding/interfaces';
import { JobControl, RecordKind } from '@jujubelanding/types';
import type { SchedulePolicy } from './schedule.js';

export const createSchedulePolicy = (configuration: Configuration): SchedulePolicy => ({
  weightOf: (team) => configuration.get(RecordKind.Team, team)?.spec.batchWeight ?? 1,
  controlOf: (jobClass) => {
    if (jobClass === undefined) return JobControl.Running;
    return configuration.get(RecordKind.Job, jobClass)?.spec.control ?? JobControl.Running;
  },
});
