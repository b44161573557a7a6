/** Defects injected into the system under test; an invariant must detect each of them. */
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { WriteStatus } from '@jujubelanding/platform';
import type { Fleet, FleetNode } from '@jujubelanding/simulation';
import {
  FinishReason,
  JobStatus,
  OrderKind,
  VmState,
  type Order,
  type Token,
  type Worker,
} from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { REGIONS } from './fleet-layout.js';

export enum Mutation {
  /** Claims are granted without being recorded. */
  ForgetClaims = 'forgetClaims',
  /** The key-value service ignores the expected revision of records. */
  IgnoreExpectedRevision = 'ignoreExpectedRevision',
  /** A cancel is acknowledged without being recorded. */
  ForgetCancel = 'forgetCancel',
  /** Leaving workers count as live. */
  IgnoreLeaving = 'ignoreLeaving',
  /** Faults that occur after a request was sent are reported as `not-run`. */
  ClaimNotRun = 'claimNotRun',
  /** Jobs are acknowledged before they are recorded. */
  AcknowledgeEarly = 'acknowledgeEarly',
  /** Results differ on each read. */
  ChangeResults = 'changeResults',
  /** A planned stop does not wait for requests in progress. */
  StopAtOnce = 'stopAtOnce',
  /** A shard still counts as owned after its lease has expired. */
  IgnoreFence = 'ignoreFence',
  /** A VM is ready before it knows the configuration. */
  RevertConfiguration = 'revertConfiguration',
  /** Batch items use twice the slots of a worker. */
  FillAllSlots = 'fillAllSlots',
  /** A stream that breaks counts as complete. */
  AcceptTruncated = 'acceptTruncated',
  /** Repair reports segment copies as stored without storing them. */
  SkipRepair = 'skipRepair',
  /** A segment write is acknowledged with a single copy. */
  StoreOneCopy = 'storeOneCopy',
  /** Segments with results are removed although jobs refer to them. */
  RemoveResults = 'removeResults',
  /** A VM that is cut off continues as owner and never reports that its lease has expired. */
  KeepLease = 'keepLease',
  /** Online requests are routed only to workers of other regions. */
  RouteAway = 'routeAway',
  /** Loads are ordered without a response from the weight store. */
  LoadBlindly = 'loadBlindly',
  /** Load orders never reach the worker. */
  ForgetLoads = 'forgetLoads',
}

/** Delay after which `RemoveResults` removes a segment. */
const RESULT_REMOVAL_DELAY_MS = 5000;

/** Wraps a lookup by shard so that it returns the last known value when there is none. */
const returnLastKnown = <T>(
  lookUp: (shard: number) => T | undefined,
): ((shard: number) => T | undefined) => {
  const lastKnown = new Map<number, T>();
  return (shard) => {
    const value = lookUp(shard) ?? lastKnown.get(shard);
    if (value !== undefined) lastKnown.set(shard, value);
    return value;
  };
};

type MutationFunction = (node: FleetNode, fleet: Fleet) => void;

const MUTATION_FUNCTIONS: Record<Mutation, MutationFunction> = {
  [Mutation.ForgetClaims]: ({ entryVm }) => {
    entryVm.components.claims.claim = async () => ok(undefined);
  },
  [Mutation.IgnoreExpectedRevision]: (_, { keyValue }) => {
    const { state } = keyValue;
    const write = state.write.bind(state);
    state.write = (request) => {
      const written = write(request);
      if (written.isErr() || written.value.status === WriteStatus.Written) return written;
      if (!request.key.startsWith('records/')) return written;
      const current = state.get(request.key);
      return write({ ...request, expectedRevision: current?.modRevision ?? 0 });
    };
  },
  [Mutation.ForgetCancel]: ({ entryVm }) => {
    const { batchJobs } = entryVm.components;
    batchJobs.cancel = async (jobId) =>
      (await batchJobs.get(jobId)).map((job) => ({ ...job, status: JobStatus.Cancelled }));
  },
  [Mutation.IgnoreLeaving]: ({ entryVm }) => {
    const { directory } = entryVm.components;
    const markLive = (worker: Worker): Worker => ({ ...worker, state: VmState.Live });
    directory.workersOf = (service) =>
      directory
        .all()
        .filter((worker) => worker.service === service)
        .map(markLive);
  },
  [Mutation.ClaimNotRun]: ({ entryVm }) => {
    const { dispatcher } = entryVm.components;
    const call = dispatcher.call.bind(dispatcher);
    dispatcher.call = async (request, signal) =>
      (await call(request, signal)).mapErr((fault) => ({ ...fault, outcome: Outcome.NotRun }));
    const generate = dispatcher.generate.bind(dispatcher);
    dispatcher.generate = async (request, onToken, signal) =>
      (await generate(request, onToken, signal)).mapErr((fault) => ({
        ...fault,
        outcome: Outcome.NotRun,
      }));
  },
  [Mutation.AcknowledgeEarly]: ({ entryVm, store }) => {
    const { batchJobs } = entryVm.components;
    const submit = batchJobs.submit.bind(batchJobs);
    batchJobs.submit = async (submission) => {
      const submitted = await submit(submission);
      if (submitted.isErr() || submitted.value.resent) return submitted;
      // Removes the record again, as if it had never become durable.
      const { id } = submitted.value.job;
      const list = await store.list('jobs/');
      const entry = list.map(({ entries }) => entries.find(({ key }) => key.includes(id)));
      if (entry.isOk() && entry.value !== undefined) {
        await store.remove(entry.value.key, entry.value.modRevision);
      }
      return submitted;
    };
  },
  [Mutation.ChangeResults]: ({ entryVm }, { timer }) => {
    const { batchJobs } = entryVm.components;
    const readResults = batchJobs.readResults.bind(batchJobs);
    batchJobs.readResults = async function* readChanged(jobId, from, to) {
      for await (const result of readResults(jobId, from, to)) {
        yield { ...result, text: `${result.text ?? ''}${timer.now()}` };
      }
    };
  },
  [Mutation.StopAtOnce]: ({ entryVm, connections, host }) => {
    entryVm.stop = async () => {
      connections.clear();
      host.crash();
    };
  },
  [Mutation.IgnoreFence]: ({ entryVm }) => {
    const { shards } = entryVm.components;
    shards.fenceOf = returnLastKnown(shards.fenceOf.bind(shards));
    shards.ownedSince = returnLastKnown(shards.ownedSince.bind(shards));
  },
  [Mutation.RevertConfiguration]: ({ entryVm }) => {
    entryVm.components.configuration.isReady = () => true;
  },
  [Mutation.FillAllSlots]: ({ entryVm }) => {
    const { ownedWorkers } = entryVm.components;
    const slots = ownedWorkers.slots.bind(ownedWorkers);
    ownedWorkers.slots = (workerId) => 2 * slots(workerId);
  },
  [Mutation.AcceptTruncated]: ({ backendServers }) => {
    const generate = backendServers.generate.bind(backendServers);
    backendServers.generate = async (worker, generation, onToken, signal) => {
      let tokenCount = generation.resumeTokens.length;
      const count = (token: Token): void => {
        tokenCount += 1;
        onToken(token);
      };
      const { requestId } = generation;
      const reply = await generate(worker, generation, count, signal);
      return reply.orElse((fault) =>
        fault.code === FaultCode.Interrupted
          ? ok({ requestId, tokenCount, finishReason: FinishReason.Stop, cachedTokens: 0 })
          : err(fault),
      );
    };
  },
  [Mutation.SkipRepair]: ({ entryVm }) => {
    entryVm.components.segments.requestCopy = async () => ok({});
  },
  [Mutation.StoreOneCopy]: ({ entryVm }, fleet) => {
    const { segments } = entryVm.components;
    const write = segments.write.bind(segments);
    segments.write = async (content) =>
      (await write(content)).map((reference) => {
        const otherCopies = reference.copies.slice(1);
        otherCopies.forEach((id) => fleet.node(id).disk!.dropFile(`segments/${reference.id}`));
        return reference;
      });
  },
  [Mutation.RemoveResults]: ({ entryVm }, fleet) => {
    const { segments } = entryVm.components;
    const write = segments.write.bind(segments);
    segments.write = async (content) =>
      (await write(content)).map((reference) => {
        if (!Buffer.from(content).includes('"status"')) return reference;
        fleet.timer.after(RESULT_REMOVAL_DELAY_MS, () =>
          fleet.nodes.forEach(({ disk }) => disk?.dropFile(`segments/${reference.id}`)),
        );
        return reference;
      });
  },
  [Mutation.KeepLease]: ({ entryVm }) => {
    const { shards } = entryVm.components;
    shards.fenceOf = returnLastKnown(shards.fenceOf.bind(shards));
    shards.ownedSince = returnLastKnown(shards.ownedSince.bind(shards));
    shards.ownerOf = returnLastKnown(shards.ownerOf.bind(shards));
    const owned = shards.owned.bind(shards);
    let lastOwned = owned();
    shards.owned = () => {
      const ownerships = owned();
      if (ownerships.length > 0) lastOwned = ownerships;
      return lastOwned;
    };
  },
  [Mutation.RouteAway]: ({ entryVm, host }) => {
    const { directory } = entryVm.components;
    const ownRegion = REGIONS.find((zones) => zones.includes(host.availabilityZone)) ?? [];
    const workersOf = directory.workersOf.bind(directory);
    directory.workersOf = (service) =>
      workersOf(service).filter(({ availabilityZone }) => !ownRegion.includes(availabilityZone));
  },
  [Mutation.LoadBlindly]: ({ weightStore }) => {
    weightStore.describe = async (name) => ok({ name, bytes: 1 });
    weightStore.readRateLimit = async () => ok({ bytesPerSecond: 1e9 });
  },
  [Mutation.ForgetLoads]: ({ backendServers }) => {
    const sendOrder = backendServers.sendOrder.bind(backendServers);
    const isLoad = ({ kind }: Order): boolean =>
      kind === OrderKind.LoadModel || kind === OrderKind.LoadAdapter;
    backendServers.sendOrder = async (worker, order) =>
      isLoad(order) ? ok(undefined) : sendOrder(worker, order);
  },
};

/** Applies a mutation to an entry VM before it starts. */
export const applyMutation = (mutation: Mutation, node: FleetNode, fleet: Fleet): void =>
  MUTATION_FUNCTIONS[mutation](node, fleet);
