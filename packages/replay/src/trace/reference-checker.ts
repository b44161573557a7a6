/** Checks that the references in events and expectations are valid. */
import { EventKind, INITIAL_REVISION, type TraceEvent } from './events.js';
import { SUBJECT_EVENT_KINDS, type Expectation } from './expectations.js';
import { listEntryVms, listWorkers, type Header } from './header.js';

export class ReferenceChecker {
  readonly events = new Map<string, TraceEvent>();

  /** Idempotency keys of the requests so far. */
  private readonly keys = new Set<string>();

  private readonly entryVms: ReadonlySet<string>;

  private readonly workers: ReadonlySet<string>;

  /** Check of each field that holds a reference; returns the reason when the value is invalid. */
  private readonly fields: Record<string, (value: string) => string | undefined> = {
    via: (value) => this.checkEntryVm(value),
    entryVm: (value) => this.checkEntryVm(value),
    from: (value) => this.checkEntryVm(value),
    to: (value) => this.checkEntryVm(value),
    worker: (value) => (this.workers.has(value) ? undefined : `unknown worker ${value}`),
    availabilityZone: (value) =>
      this.header.availabilityZones.includes(value)
        ? undefined
        : `unknown availability zone ${value}`,
    job: (value) => this.checkEvent(value, [EventKind.Submit]),
    expectedRevision: (value) =>
      value === INITIAL_REVISION ? undefined : this.checkEvent(value, [EventKind.WriteRecord]),
  };

  constructor(private readonly header: Header) {
    this.entryVms = new Set(listEntryVms(header));
    this.workers = new Set(header.services.flatMap(listWorkers));
  }

  /** Adds an event; returns the reason when it is invalid after the earlier ones. */
  add(event: TraceEvent): string | undefined {
    if (this.events.has(event.id)) return `event id ${event.id} is used twice`;
    const { at } = [...this.events.values()].at(-1) ?? { at: 0 };
    if (event.at < at) return `time goes back: at ${event.at} follows ${at}`;
    if (event.at > this.header.durationMs) {
      return `at ${event.at} is after durationMs ${this.header.durationMs}`;
    }
    for (const [field, value] of Object.entries(event)) {
      const reason = typeof value === 'string' ? this.fields[field]?.(value) : undefined;
      if (reason !== undefined) return `field ${field}: ${reason}`;
    }
    this.events.set(event.id, event);
    if ('key' in event && event.key !== undefined) this.keys.add(event.key);
    return undefined;
  }

  /** Checks an expectation against the events; returns the reason when it is invalid. */
  check(expectation: Expectation): string | undefined {
    if ('key' in expectation && !this.keys.has(expectation.key)) {
      return `no request has the key ${expectation.key}`;
    }
    const singleSubject = 'event' in expectation ? [expectation.event] : [];
    const subjects = 'events' in expectation ? expectation.events : singleSubject;
    return subjects
      .map((subject) => this.checkEvent(subject, SUBJECT_EVENT_KINDS[expectation.expect]))
      .find((reason) => reason !== undefined);
  }

  private checkEntryVm(value: string): string | undefined {
    return this.entryVms.has(value) ? undefined : `unknown entry VM ${value}`;
  }

  private checkEvent(value: string, kinds: readonly EventKind[]): string | undefined {
    const event = this.events.get(value);
    if (event === undefined) return `unknown event ${value}`;
    if (kinds.includes(event.kind)) return undefined;
    return `event ${value} is of kind ${event.kind}, allowed: ${kinds.join(', ')}`;
  }
}
