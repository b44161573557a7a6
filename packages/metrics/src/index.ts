/** Counters, gauges and timings, sent to StatsD, rendered for Prometheus or kept in memory for tests. */
export * from './memory-metrics.js';
export * from './metrics.js';
export { createPrometheusMetrics, type PrometheusMetrics } from './prometheus-metrics.js';
