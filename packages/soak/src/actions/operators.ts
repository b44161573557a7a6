/** Operators who write records, also at the same time. */
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind, type CallerReply } from '../caller.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import type { SoakHarness } from '../soak-harness.js';

const RECORD_COUNT = 5;

/** What operators know of one record: the last revision and weight that were acknowledged. */
interface KnownRecord {
  revision: number;
  /** Writes that were acknowledged, by revision. */
  acknowledgedWrites: Map<number, string>;
}

const knownRecords = new WeakMap<SoakHarness, Map<string, KnownRecord>>();

const getOrCreateKnownRecord = (world: SoakHarness, name: string): KnownRecord => {
  const records = knownRecords.get(world) ?? new Map<string, KnownRecord>();
  knownRecords.set(world, records);
  const known = records.get(name) ?? { revision: 0, acknowledgedWrites: new Map<number, string>() };
  records.set(name, known);
  return known;
};

const putRecord = (
  world: SoakHarness,
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

const isAcknowledged = ({ kind, status }: CallerReply): boolean =>
  kind === ReplyKind.Answered && status < 300;

const recordReply = (
  world: SoakHarness,
  name: string,
  weight: string,
  reply: CallerReply,
): void => {
  if (!isAcknowledged(reply)) return;
  const { revision } = JSON.parse(reply.body) as { revision: number };
  const known = getOrCreateKnownRecord(world, name);
  const other = known.acknowledgedWrites.get(revision);
  if (other !== undefined && other !== weight) {
    world.violations.report(Invariant.OneWinner, name, `revision ${revision} was given twice`);
  }
  known.acknowledgedWrites.set(revision, weight);
  known.revision = Math.max(known.revision, revision);
};

const writeRecord = async (world: SoakHarness, node: FleetNode, name: string): Promise<void> => {
  const weight = `weight-${world.random.createId()}`;
  recordReply(
    world,
    name,
    weight,
    await putRecord(world, node, name, weight, getOrCreateKnownRecord(world, name).revision),
  );
};

export const applyRecord = (world: SoakHarness, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  if (node !== undefined) {
    world.trackRequest(writeRecord(world, node, `record-${amount % RECORD_COUNT}`));
  }
};

/** Two operators write the same record under the same expected revision. */
const raceWrites = async (world: SoakHarness, nodes: FleetNode[], name: string): Promise<void> => {
  const { revision } = getOrCreateKnownRecord(world, name);
  const writes = nodes.map((node) => {
    const weight = `weight-${world.random.createId()}`;
    return { weight, reply: putRecord(world, node, name, weight, revision) };
  });
  const replies = await Promise.all(writes.map(({ reply }) => reply));
  replies.forEach((reply, index) => recordReply(world, name, writes[index]!.weight, reply));
  const winners = replies.filter(isAcknowledged).length;
  if (winners > 1) {
    const detail = `${winners} writes won under expected revision ${revision}`;
    world.violations.report(Invariant.OneWinner, `${name}@${revision}`, detail);
  }
};

export const raceRecord = (world: SoakHarness, { target, amount }: Step): void => {
  const first = world.chooseNode(target);
  const second = world.chooseNode(target + 1);
  if (first === undefined || second === undefined) return;
  world.trackRequest(raceWrites(world, [first, second], `record-${amount % RECORD_COUNT}`));
};

/** Compares each record in force with the acknowledged writes: the newest one must be there. */
export const checkRecords = (world: SoakHarness, node: FleetNode): void => {
  for (const [name, known] of knownRecords.get(world) ?? []) {
    if (known.revision === 0) continue;
    const record = world.fleet.keyValue.state.get(`records/version/${name}`);
    const acknowledged = known.acknowledgedWrites.get(known.revision)!;
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
