/** Runs the items of owned batch jobs on worker capacity that online requests do not use. */
export { JobExecution, type JobExecutionOptions } from './job-execution.js';
