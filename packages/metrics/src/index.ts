/** Counters, gauges and timings sent to StatsD through hot-shots. */
export * from './memory-metrics.js';
export * from './metrics.js';
export { createPrometheusMetrics, type PrometheusMetrics } from './prometheus-metrics.js';
