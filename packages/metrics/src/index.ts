/** Counters, gauges and timings sent to StatsD through hot-shots. */
export * from './memory-metrics.js';
export * from './metrics.js';
export { createScrapedMetrics, type ScrapedMetrics } from './prometheus-metrics.js';
