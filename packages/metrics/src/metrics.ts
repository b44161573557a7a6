/** Metrics interface and its StatsD implementation. */
import { StatsD } from 'hot-shots';

export type Tags = Record<string, string>;

export interface Metrics {
  increment(name: string, tags?: Tags, value?: number): void;
  gauge(name: string, value: number, tags?: Tags): void;
  /** Records a duration in milliseconds. */
  timing(name: string, valueMs: number, tags?: Tags): void;
  close(): Promise<void>;
}

/** Metrics that discard all samples. */
export const silentMetrics: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
  close: () => Promise.resolve(),
};

/** Creates metrics that are sent to a StatsD server at host:port through hot-shots. */
export const createStatsdMetrics = (address: string, globalTags: Tags): Metrics => {
  const separator = address.lastIndexOf(':');
  const client = new StatsD({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    prefix: 'jujubelanding.',
    globalTags,
    // An unreachable metrics server must not affect requests.
    errorHandler: () => {},
  });
  return {
    increment: (name, tags, value = 1) => client.increment(name, value, tags),
    gauge: (name, value, tags) => client.gauge(name, value, tags),
    timing: (name, valueMs, tags) => client.timing(name, valueMs, tags),
    close: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
};
