/** Operators who write records. */
import { ReplyKind, type CallerReply } from '../caller.js';
import { INITIAL_REVISION, type EventKind, type EventOf } from '../trace/events.js';
import type { ReplayHarness } from '../replay-harness.js';

/** Revision that a write got; undefined when it was not acknowledged. */
export const readRevision = ({ kind, status, body }: CallerReply): number | undefined =>
  kind === ReplyKind.Answered && status < 300
    ? (JSON.parse(body) as { revision: number }).revision
    : undefined;

const resolveExpectedRevision = (
  world: ReplayHarness,
  { expectedRevision, recordKind, name }: EventOf<EventKind.WriteRecord>,
): number => {
  if (typeof expectedRevision === 'number') return expectedRevision;
  if (expectedRevision === INITIAL_REVISION) return world.getInitialRevision(recordKind, name);
  return readRevision(world.replies.get(expectedRevision)!) ?? 0;
};

const sendRecord = async (
  world: ReplayHarness,
  event: EventOf<EventKind.WriteRecord>,
): Promise<void> => {
  const { id, via, recordKind, name, schemaVersion, spec } = event;
  const expectedRevision = resolveExpectedRevision(world, event);
  const reply = await world.administer(id, via, {
    method: 'PUT',
    path: `/admin/v1/records/${recordKind}/${name}`,
    body: JSON.stringify({ schemaVersion, spec, expectedRevision }),
  });
  const revision = readRevision(reply);
  if (revision !== undefined) world.configuration.trackRevision(revision);
};

export const writeRecord = (world: ReplayHarness, event: EventOf<EventKind.WriteRecord>): void => {
  void sendRecord(world, event);
};
