/** Operators who write records. */
import { ReplyKind, type CallerReply } from '../caller.js';
import { INITIAL_REVISION, type EventKind, type EventOf } from '../trace/events.js';
import type { World } from '../world.js';

/** Revision that a write got; undefined when it was not acknowledged. */
export const readRevision = ({ kind, status, body }: CallerReply): number | undefined =>
  kind === ReplyKind.Answered && status < 300
    ? (JSON.parse(body) as { revision: number }).revision
    : undefined;

const resolveExpected = (
  world: World,
  { expectedRevision, recordKind, name }: EventOf<EventKind.WriteRecord>,
): number => {
  if (typeof expectedRevision === 'number') return expectedRevision;
  if (expectedRevision === INITIAL_REVISION) return world.initialRevision(recordKind, name);
  return readRevision(world.replies.get(expectedRevision)!) ?? 0;
};

const write = async (world: World, event: EventOf<EventKind.WriteRecord>): Promise<void> => {
  const { id, via, recordKind, name, schemaVersion, spec } = event;
  const expectedRevision = resolveExpected(world, event);
  const reply = await world.administer(id, via, {
    method: 'PUT',
    path: `/admin/v1/records/${recordKind}/${name}`,
    body: JSON.stringify({ schemaVersion, spec, expectedRevision }),
  });
  const revision = readRevision(reply);
  if (revision !== undefined) world.configuration.await(revision);
};

export const writeRecord = (world: World, event: EventOf<EventKind.WriteRecord>): void => {
  void write(world, event);
};
