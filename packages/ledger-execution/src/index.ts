/** Runs the items of owned batch jobs on capacity that online requests leave idle. */
export { JobExecution, type JobExecutionOptions } from './job-execution.js';
