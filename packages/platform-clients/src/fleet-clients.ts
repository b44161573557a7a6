/** HTTP clients for the VM list and the weight store. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { VmList, VmListReadResult, WeightStore } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { VmRole, VmState } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { expectSuccess, parseResponse, readHeader } from './responses.js';
import { HttpClient } from './http-client.js';
import type { HttpRequest, HttpResponse } from './http-request.js';
import type { Closable } from './key-value-client.js';

export interface FleetClientOptions {
  /** host:port */
  address: string;
  timer: Timer;
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2000;

const CONNECTION_LIMITS = { connections: 4, connectTimeoutMs: 1000 };

const STATUS_NOT_MODIFIED = 304;

const vmSchema = z.object({
  id: z.string(),
  role: z.enum(VmRole),
  state: z.enum(VmState),
  availabilityZone: z.string(),
  address: z.string(),
  service: z.string().optional(),
});

const vmsSchema = z.object({ vms: z.array(z.unknown()) });

/** An invalid entry costs only itself, but a list without a valid one has another format. */
const parseVms = (
  response: HttpResponse,
  target: Pick<HttpRequest, 'step' | 'peer'>,
): Result<Pick<VmListReadResult, 'vms' | 'skipped'>, Fault> =>
  parseResponse(response, vmsSchema, target).andThen((list) => {
    const parsed = list.vms.map((vm) => vmSchema.safeParse(vm));
    const vms = parsed.flatMap(({ data }) => (data === undefined ? [] : [data]));
    const skipped = parsed.length - vms.length;
    if (vms.length > 0 || skipped === 0) return ok({ vms, ...(skipped > 0 ? { skipped } : {}) });
    const outcome = Outcome.OutcomeUnknown;
    const message = `none of the ${skipped} entries of the VM list is valid`;
    return err({ code: FaultCode.Upstream, outcome, ...target, message });
  });

/** Creates a client for the VM list. */
export const createVmListClient = (options: FleetClientOptions): Closable<VmList> => {
  const { address, timer, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const http = new HttpClient(timer, CONNECTION_LIMITS, timeoutMs);
  const target = { step: 'readVmList', peer: 'vm-list', address, method: 'GET', path: '/v1/vms' };
  return {
    read: async (knownTag) => {
      const headers = knownTag === undefined ? undefined : { 'if-none-match': knownTag };
      const reply = await http.send({ ...target, method: 'GET', headers });
      return reply.andThen((response) => {
        const tag = readHeader(response, 'etag') ?? '';
        if (response.status === STATUS_NOT_MODIFIED && knownTag !== undefined) {
          return ok({ tag: knownTag });
        }
        return expectSuccess(response, target)
          .andThen((received) => parseVms(received, target))
          .map((list) => ({ tag, ...list }));
      });
    },
    close: () => http.close(),
  };
};

const weightSchema = z.object({ name: z.string(), bytes: z.number() });

const rateLimitSchema = z.object({ bytesPerSecond: z.number() });

/** Creates a client for the weight store. */
export const createWeightStoreClient = (options: FleetClientOptions): Closable<WeightStore> => {
  const { address, timer, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const http = new HttpClient(timer, CONNECTION_LIMITS, timeoutMs);
  const target = { peer: 'weight-store', address, method: 'GET' as const };
  return {
    describe: (name) => {
      const path = `/v1/weights/${encodeURIComponent(name)}`;
      return http.call({ ...target, step: 'describeWeight', path }, weightSchema);
    },
    readRateLimit: () =>
      http.call({ ...target, step: 'readRateLimit', path: '/v1/rate-limit' }, rateLimitSchema),
    close: () => http.close(),
  };
};
