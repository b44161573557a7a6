/** Steps in which operators change the minimum number of workers of a model or an adapter. */
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind } from '../caller.js';
import type { Step } from '../step.js';
import { PLACED_RECORDS } from '../initial-records.js';
import type { SoakHarness } from '../soak-harness.js';

/** The service of the placed model has three workers. */
const MAX_WORKERS = 3;

const changeMinWorkers = async (
  harness: SoakHarness,
  node: FleetNode,
  { target, amount }: Step,
): Promise<void> => {
  const { kind, name, schemaVersion, spec } = PLACED_RECORDS[target % PLACED_RECORDS.length]!;
  const minWorkers = 1 + (amount % MAX_WORKERS);
  const path = `/admin/v1/records/${kind}/${name}`;
  const current = await harness.administer(node, { method: 'GET', path });
  if (current.kind !== ReplyKind.Answered || current.status !== 200) return;
  const { revision } = JSON.parse(current.body) as { revision: number };
  await harness.administer(node, {
    method: 'PUT',
    path,
    body: JSON.stringify({
      schemaVersion,
      spec: { ...spec, minWorkers },
      expectedRevision: revision,
    }),
  });
};

export const scalePlacement = (harness: SoakHarness, step: Step): void => {
  const node = harness.chooseNode(step.target);
  if (node !== undefined) harness.trackRequest(changeMinWorkers(harness, node, step));
};
