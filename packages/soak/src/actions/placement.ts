/** Operators who change on how many workers a model or an adapter is to be loaded. */
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind } from '../caller.js';
import type { Step } from '../step.js';
import { PLACED_RECORDS } from '../initial-records.js';
import type { World } from '../world.js';

/** The service of the placed model has three workers. */
const MAX_WORKERS = 3;

const scale = async (world: World, node: FleetNode, { target, amount }: Step): Promise<void> => {
  const { kind, name, schemaVersion, spec } = PLACED_RECORDS[target % PLACED_RECORDS.length]!;
  const minWorkers = 1 + (amount % MAX_WORKERS);
  const path = `/admin/v1/records/${kind}/${name}`;
  const known = await world.administer(node, { method: 'GET', path });
  if (known.kind !== ReplyKind.Answered || known.status !== 200) return;
  const { revision } = JSON.parse(known.body) as { revision: number };
  await world.administer(node, {
    method: 'PUT',
    path,
    body: JSON.stringify({
      schemaVersion,
      spec: { ...spec, minWorkers },
      expectedRevision: revision,
    }),
  });
};

export const scalePlacement = (world: World, step: Step): void => {
  const node = world.chooseNode(step.target);
  if (node !== undefined) world.track(scale(world, node, step));
};
