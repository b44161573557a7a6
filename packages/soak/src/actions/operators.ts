/** Steps in which operators write records, some of them concurrently. */
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind, type CallerReply } from '../caller.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import type { SoakHarness } from '../soak-harness.js';

const RECORD_COUNT = 5;

/** Acknowledged writes of one record; operators know of no others. */
interface RecordHistory {
  /** Highest acknowledged revision; 0 before the first one. */
  revision: number;
  /** Acknowledged weights by revision. */
  acknowledgedWrites: Map<number, string>;
}

/** Histories by record name. */
const historiesByHarness = new WeakMap<SoakHarness, Map<string, RecordHistory>>();

const getOrCreateHistory = (harness: SoakHarness, name: string): RecordHistory => {
  const histories = historiesByHarness.get(harness) ?? new Map<string, RecordHistory>();
  historiesByHarness.set(harness, histories);
  const history = histories.get(name) ?? {
    revision: 0,
    acknowledgedWrites: new Map<number, string>(),
  };
  histories.set(name, history);
  return history;
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
  const history = getOrCreateHistory(harness, name);
  const previousWeight = history.acknowledgedWrites.get(revision);
  if (previousWeight !== undefined && previousWeight !== weight) {
    harness.violations.report(Invariant.OneWinner, name, `revision ${revision} was assigned twice`);
  }
  history.acknowledgedWrites.set(revision, weight);
  history.revision = Math.max(history.revision, revision);
};

const writeRecord = async (harness: SoakHarness, node: FleetNode, name: string): Promise<void> => {
  const weight = `weight-${harness.random.createId()}`;
  recordReply(
    harness,
    name,
    weight,
    await putRecord(harness, node, name, weight, getOrCreateHistory(harness, name).revision),
  );
};

export const applyRecord = (harness: SoakHarness, { target, amount }: Step): void => {
  const node = harness.chooseNode(target);
  if (node !== undefined) {
    harness.trackRequest(writeRecord(harness, node, `record-${amount % RECORD_COUNT}`));
  }
};

/** Writes the same record through several entry VMs with the same expected revision. */
const raceWrites = async (
  harness: SoakHarness,
  nodes: FleetNode[],
  name: string,
): Promise<void> => {
  const { revision } = getOrCreateHistory(harness, name);
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
  for (const [name, history] of historiesByHarness.get(harness) ?? []) {
    if (history.revision === 0) continue;
    const record = harness.fleet.keyValue.state.get(`records/version/${name}`);
    const acknowledged = history.acknowledgedWrites.get(history.revision)!;
    // A write without a response may have taken effect later, with a higher revision.
    const isLost =
      record === undefined ||
      record.modRevision < history.revision ||
      (record.modRevision === history.revision && !record.value.includes(acknowledged));
    if (isLost) {
      const detail = `revision ${history.revision} is no longer stored (${node.host.id})`;
      harness.violations.report(Invariant.AcceptedRecordKept, name, detail);
    }
  }
};
