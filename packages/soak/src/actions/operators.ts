/** Operators who write records, also at the same time. */
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind, type CallerReply } from '../caller.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import type { World } from '../world.js';

const RECORD_COUNT = 5;

/** What operators know of one record: the last revision and weight that were acknowledged. */
interface KnownRecord {
  revision: number;
  /** Writes that were acknowledged, by revision. */
  accepted: Map<number, string>;
}

const knownRecords = new WeakMap<World, Map<string, KnownRecord>>();

const findKnown = (world: World, name: string): KnownRecord => {
  const records = knownRecords.get(world) ?? new Map<string, KnownRecord>();
  knownRecords.set(world, records);
  const known = records.get(name) ?? { revision: 0, accepted: new Map<number, string>() };
  records.set(name, known);
  return known;
};

const put = (
  world: World,
  node: FleetNode,
  name: string,
  weight: string,
  expectedRevision: number,
): Promise<CallerReply> =>
  world.administer(node, {
    method: 'PUT',
    path: `/admin/v1/records/version/${name}`,
    body: JSON.stringify({ schemaVersion: 1, spec: { weight }, expectedRevision }),
  });

const isAccepted = ({ kind, status }: CallerReply): boolean =>
  kind === ReplyKind.Answered && status < 300;

const note = (world: World, name: string, weight: string, reply: CallerReply): void => {
  if (!isAccepted(reply)) return;
  const { revision } = JSON.parse(reply.body) as { revision: number };
  const known = findKnown(world, name);
  const other = known.accepted.get(revision);
  if (other !== undefined && other !== weight) {
    world.violations.report(Invariant.OneWinner, name, `revision ${revision} was given twice`);
  }
  known.accepted.set(revision, weight);
  known.revision = Math.max(known.revision, revision);
};

const apply = async (world: World, node: FleetNode, name: string): Promise<void> => {
  const weight = `weight-${world.random.createId()}`;
  note(world, name, weight, await put(world, node, name, weight, findKnown(world, name).revision));
};

export const applyRecord = (world: World, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  if (node !== undefined) world.track(apply(world, node, `record-${amount % RECORD_COUNT}`));
};

/** Two operators write the same record under the same expected revision. */
const race = async (world: World, nodes: FleetNode[], name: string): Promise<void> => {
  const { revision } = findKnown(world, name);
  const writes = nodes.map((node) => {
    const weight = `weight-${world.random.createId()}`;
    return { weight, reply: put(world, node, name, weight, revision) };
  });
  const replies = await Promise.all(writes.map(({ reply }) => reply));
  replies.forEach((reply, index) => note(world, name, writes[index]!.weight, reply));
  const winners = replies.filter(isAccepted).length;
  if (winners > 1) {
    const detail = `${winners} writes won under expected revision ${revision}`;
    world.violations.report(Invariant.OneWinner, `${name}@${revision}`, detail);
  }
};

export const raceRecord = (world: World, { target, amount }: Step): void => {
  const first = world.chooseNode(target);
  const second = world.chooseNode(target + 1);
  if (first === undefined || second === undefined) return;
  world.track(race(world, [first, second], `record-${amount % RECORD_COUNT}`));
};

/** Compares each record in force with the acknowledged writes: the newest one must be there. */
export const checkRecords = (world: World, node: FleetNode): void => {
  for (const [name, known] of knownRecords.get(world) ?? []) {
    if (known.revision === 0) continue;
    const record = world.fleet.keyValue.state.get(`records/version/${name}`);
    const acknowledged = known.accepted.get(known.revision)!;
    // A write without an answer may have taken effect later, under a higher revision.
    const isLost =
      record === undefined ||
      record.modRevision < known.revision ||
      (record.modRevision === known.revision && !record.value.includes(acknowledged));
    if (isLost) {
      const detail = `revision ${known.revision} is not kept (${node.host.id})`;
      world.violations.report(Invariant.AcceptedRecordKept, name, detail);
    }
  }
};
