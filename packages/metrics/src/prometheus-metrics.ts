/** Metrics in the Prometheus text exposition format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Metrics, Tags } from './metrics.js';

/** Histogram bounds, which range from a store call to the longest time that a caller waits. */
const TIME_BUCKETS_MS = [2, 5, 10, 20, 40, 80, 150, 300, 600, 1000, 2000, 5000, 10_000, 20_000];

const NAME_PREFIX = 'jujubelanding_';

const toPrometheusName = (name: string): string => NAME_PREFIX + name.replaceAll('.', '_');

export interface PrometheusMetrics extends Metrics {
  render(): Promise<string>;
}

export const createPrometheusMetrics = (): PrometheusMetrics => {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  const createOptions = (name: string, tags: Tags) => ({
    name: toPrometheusName(name),
    help: name,
    labelNames: Object.keys(tags),
    registers: [registry],
  });
  return {
    increment: (name, tags = {}, value = 1) => {
      const counter = counters.get(name) ?? new Counter(createOptions(name, tags));
      counters.set(name, counter);
      counter.inc(tags, value);
    },
    gauge: (name, value, tags = {}) => {
      const gauge = gauges.get(name) ?? new Gauge(createOptions(name, tags));
      gauges.set(name, gauge);
      gauge.set(tags, value);
    },
    timing: (name, valueMs, tags = {}) => {
      const histogram =
        histograms.get(name) ??
        new Histogram({ ...createOptions(`${name}_ms`, tags), buckets: TIME_BUCKETS_MS });
      histograms.set(name, histogram);
      histogram.observe(tags, valueMs);
    },
    close: () => Promise.resolve(),
    render: () => registry.metrics(),
  };
};
