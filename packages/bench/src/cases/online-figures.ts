import type { OnlineMeasurements } from '../online-load-driver.js';
import type { Figures } from '../report.js';

/** Computes the figures of the online requests as their callers observed them. */
export const computeOnlineFigures = ({
  requests,
  failed,
  firstTokenMs,
  interTokenMs,
}: OnlineMeasurements): Figures => ({
  requests,
  failed,
  firstTokenP50Ms: firstTokenMs.percentile(50),
  firstTokenP95Ms: firstTokenMs.percentile(95),
  firstTokenP99Ms: firstTokenMs.percentile(99),
  interTokenP95Ms: interTokenMs.percentile(95),
  interTokenP99Ms: interTokenMs.percentile(99),
});
