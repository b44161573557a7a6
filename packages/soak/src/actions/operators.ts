/** Steps in which operators write records, some of them concurrently. */
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind, type CallerReply } from '../caller.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import type { SoakHarness } from '../soak-harness.js';

const RECORD_COUNT = 5;

/** Acknowledged writes of one record, as operators know them. */
interface KnownRecord {
  /** Highest acknowledged revision; 0 before the first one. */
  revision: number;
  /** Acknowledged weights by revision. */
  acknowledgedWrites: Map<number, string>;
}

const knownRecords = new WeakMap<SoakHarness, Map<string, KnownRecord>>();

const getOrCreateKnownRecord = (harness: SoakHarness, name: string): KnownRecord => {
  const records = knownRecords.get(harness) ?? new Map<string, KnownRecord>();
  knownRecords.set(harness, records);
  const known = records.get(name) ?? { revision: 0, acknowledgedWrites: new Map<number, string>() };
  records.set(name, known);
  return known;
};

const putRecord = (
  harness: SoakHarness,
  node: FleetNode,
  name: string,
  weight: string,
  expectedRevision: number,
): Promise<CallerReply> =>
  harness.administer(node, {
    method: 'PUT',
    path: `/admin/v1/records/version/${name}`,
    body: JSON.stringify({ schemaVersion: 1, spec: { weight }, expectedRevision }),
  });

const isAcknowledged = ({ kind, status }: CallerReply): boolean =>
  kind === ReplyKind.Answered && status < 300;

const recordReply = (
  harness: SoakHarness,
  name: string,
  weight: string,
  reply: CallerReply,
): void => {
  if (!isAcknowledged(reply)) return;
  const { revision } = JSON.parse(reply.body) as { revision: number };
  const known = getOrCreateKnownRecord(harness, name);
  const other = known.acknowledgedWrites.get(revision);
  if (other !== undefined && other !== weight) {
    harness.violations.report(Invariant.OneWinner, name, `revision ${revision} was assigned twice`);
  }
  known.acknowledgedWrites.set(revision, weight);
  known.revision = Math.max(known.revision, revision);
};

const writeRecord = async (harness: SoakHarness, node: FleetNode, name: string): Promise<void> => {
  const weight = `weight-${harness.random.createId()}`;
  recordReply(
    harness,
    name,
    weight,
    await putRecord(harness, node, name, weight, getOrCreateKnownRecord(harness, name).revision),
  );
};

export const applyRecord = (harness: SoakHarness, { target, amount }: Step): void => {
  const node = harness.chooseNode(target);
  if (node === undefined) return;
  harness.trackRequest(writeRecord(harness, node, `record-${amount % RECORD_COUNT}`));
};

/** Writes the same record through several entry VMs with the same expected revision. */
const raceWrites = async (
  harness: SoakHarness,
  nodes: FleetNode[],
  name: string,
): Promise<void> => {
  const { revision } = getOrCreateKnownRecord(harness, name);
  const writes = nodes.map((node) => {
    const weight = `weight-${harness.random.createId()}`;
    return { weight, reply: putRecord(harness, node, name, weight, revision) };
  });
  const replies = await Promise.all(writes.map(({ reply }) => reply));
  replies.forEach((reply, index) => recordReply(harness, name, writes[index]!.weight, reply));
  const winnerCount = replies.filter(isAcknowledged).length;
  if (winnerCount > 1) {
    const detail = `${winnerCount} writes succeeded with expected revision ${revision}`;
    harness.violations.report(Invariant.OneWinner, `${name}@${revision}`, detail);
  }
};

export const raceRecord = (harness: SoakHarness, { target, amount }: Step): void => {
  const first = harness.chooseNode(target);
  const second = harness.chooseNode(target + 1);
  if (first === undefined || second === undefined) return;
  harness.trackRequest(raceWrites(harness, [first, second], `record-${amount % RECORD_COUNT}`));
};

/** Checks that the latest acknowledged write of each record is stored, unless a later one replaced it. */
export const checkRecords = (harness: SoakHarness, node: FleetNode): void => {
  for (const [name, known] of knownRecords.get(harness) ?? []) {
    if (known.revision === 0) continue;
    const record = harness.fleet.keyValue.state.get(`records/version/${name}`);
    const acknowledged = known.acknowledgedWrites.get(known.revision)!;
    // A write without a response may have taken effect later, with a higher revision.
    const isLost =
      record === undefined ||
      record.modRevision < known.revision ||
      (record.modRevision === known.revision && !record.value.includes(acknowledged));
    if (isLost) {
      const detail = `revision ${known.revision} is no longer stored (${node.host.id})`;
      harness.violations.report(Invariant.AcceptedRecordKept, name, detail);
    }
  }
};
