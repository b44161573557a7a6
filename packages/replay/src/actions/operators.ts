/** Handlers of events in which operators write records. */
import { ReplyKind, type CallerReply } from '../caller.js';
import { INITIAL_REVISION, type EventKind, type EventOf } from '../trace/events.js';
import type { ReplayHarness } from '../replay-harness.js';

/** Returns the revision of an acknowledged write; undefined when it was not acknowledged. */
export const readRevision = ({ kind, status, body }: CallerReply): number | undefined =>
  kind === ReplyKind.Answered && status < 300
    ? (JSON.parse(body) as { revision: number }).revision
    : undefined;

const resolveExpectedRevision = (
  harness: ReplayHarness,
  { expectedRevision, recordKind, name }: EventOf<EventKind.WriteRecord>,
): number => {
  if (typeof expectedRevision === 'number') return expectedRevision;
  if (expectedRevision === INITIAL_REVISION) return harness.getInitialRevision(recordKind, name);
  return readRevision(harness.replies.get(expectedRevision)!) ?? 0;
};

const sendRecord = async (
  harness: ReplayHarness,
  event: EventOf<EventKind.WriteRecord>,
): Promise<void> => {
  const { id, via, recordKind, name, schemaVersion, spec } = event;
  const expectedRevision = resolveExpectedRevision(harness, event);
  const reply = await harness.administer(id, via, {
    method: 'PUT',
    path: `/admin/v1/records/${recordKind}/${name}`,
    body: JSON.stringify({ schemaVersion, spec, expectedRevision }),
  });
  const revision = readRevision(reply);
  if (revision !== undefined) harness.configuration.trackRevision(revision);
};

export const writeRecord = (
  harness: ReplayHarness,
  event: EventOf<EventKind.WriteRecord>,
): void => {
  void sendRecord(harness, event);
};
