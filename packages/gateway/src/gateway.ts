/** Processing of a caller's request: filters, then the handler of the matched route. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { Admission } from '@jujubelanding/planned-stop';
import { mayRepeat, RouteKind, type Route, type RouteTable } from '@jujubelanding/route-table';
import { err, ok, type Result } from 'neverthrow';
import type { CallerExchange, InboundRequest } from './caller-exchange.js';
import { identifyTeam, type CallerIdentity } from './identify-team.js';
import { OnlineForwarder, type OnlineForwarderOptions } from './online-forwarder.js';
import { sendError } from './error-response.js';

/** Retry delay returned to callers while no configuration is known. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

export interface BatchRequests {
  /** Processes a submission on a route of a version of the configuration, and answers it. */
  submit(exchange: CallerExchange, route: Route, version: number): Promise<void>;
}

export interface GatewayOptions extends OnlineForwarderOptions {
  /** Route table of the active configuration; undefined until one is known. */
  readTable: () => RouteTable | undefined;
  /** Time since the store last confirmed the active configuration, in milliseconds. */
  configurationAgeMs: () => number;
  /** Resolves once the configuration and workers have been known, or after a maximum wait. */
  waitUntilReady: () => Promise<void>;
  batch: BatchRequests;
  admission: Pick<Admission, 'refuse' | 'recordDuration'>;
  /** Limits of the teams' online requests over all entry VMs. */
  limits: {
    admit(team: string): Result<void, Fault>;
    /** Called if the request was refused before it was sent; if absent, it stays counted. */
    returnUnsent?(team: string, admittedAt: number): void;
  };
  log: Log;
}

/** Request state that the filters build up. */
interface RequestContext {
  exchange: CallerExchange;
  table?: RouteTable;
  route?: Route;
}

type Filter = (context: RequestContext, options: GatewayOptions) => Result<RequestContext, Fault>;

const NO_CONFIGURATION: Fault = {
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step: 'configuration',
  message: 'no configuration is known yet',
  retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS,
};

const requireConfiguration: Filter = (context, { readTable }) => {
  const table = readTable();
  return table === undefined ? err(NO_CONFIGURATION) : ok({ ...context, table });
};

const identifyCaller: Filter = (context) => {
  const { exchange, table, route } = context;
  return identifyTeam(exchange.request, table!, route!.isPublic === true).map((request) => {
    exchange.request = request;
    return context;
  });
};

const limitBody: Filter = (context) => {
  const limit = context.table!.configuration.limits.maxBodyBytes;
  const { body } = context.exchange.request;
  if (body.length <= limit) return ok(context);
  return err({
    code: FaultCode.TooLarge,
    outcome: Outcome.NotRun,
    step: 'limits',
    message: `the body has ${body.length} bytes; at most ${limit} are allowed`,
  });
};

const matchRoute: Filter = (context) => {
  const { host, target } = context.exchange.request;
  const route = context.table!.match(host, target);
  if (route !== undefined) return ok({ ...context, route });
  return err({
    code: FaultCode.NotFound,
    outcome: Outcome.NotRun,
    step: 'route',
    message: `no route for host ${host} matches ${target}`,
  });
};

/** Refuses an online request that this VM cannot complete before it stops. */
const requireTime: Filter = (context, { admission }) => {
  const { waitMs = Infinity } = context.exchange.request;
  const { route } = context;
  const { name, kind, timeoutMs } = route!;
  // Submissions have a time limit of their own.
  if (kind === RouteKind.Batch) return ok(context);
  const maxMs = Math.min(waitMs, timeoutMs);
  const refusal = admission.refuse({ kind: name, maxMs, mayRepeat: mayRepeat(route!) });
  return refusal === undefined ? ok(context) : err(refusal);
};

/** Counts an online request against the limit of its team, and refuses it if the limit is used up. */
const limitTeam: Filter = (context, { limits }) => {
  const { team } = context.exchange.request;
  if (team === undefined || context.route!.kind === RouteKind.Batch) return ok(context);
  return limits.admit(team.name).map(() => context);
};

const FILTERS: readonly Filter[] = [
  requireConfiguration,
  limitBody,
  matchRoute,
  identifyCaller,
  requireTime,
  limitTeam,
];

type Handler = (
  exchange: CallerExchange,
  route: Route,
  table: RouteTable,
  options: GatewayOptions,
) => Promise<void>;

const forwardOnline: Handler = async (exchange, route, table, options) => {
  const { timer, admission, limits } = options;
  const { team } = exchange.request;
  const admittedAt = timer.now();
  const forwarder = new OnlineForwarder(options, exchange, route, table.version);
  const isAnswered = await forwarder.run();
  if (forwarder.wasRefusedUnsent && team) limits.returnUnsent?.(team.name, admittedAt);
  if (!isAnswered) return;
  admission.recordDuration(route.name, timer.now() - exchange.request.arrivedAt);
};

const HANDLERS: Record<RouteKind, Handler> = {
  [RouteKind.Idempotent]: forwardOnline,
  [RouteKind.NonIdempotent]: forwardOnline,
  [RouteKind.Streaming]: forwardOnline,
  [RouteKind.Batch]: (exchange, route, { version }, { batch }) =>
    batch.submit(exchange, route, version),
};

export class Gateway {
  constructor(private readonly options: GatewayOptions) {}

  /** Processes a request and answers it; the promise never rejects. */
  async handle(exchange: CallerExchange): Promise<void> {
    await this.options.waitUntilReady();
    let context: RequestContext = { exchange };
    for (const filter of FILTERS) {
      const passed = filter(context, this.options);
      if (passed.isErr()) {
        this.logRejection(context, passed.error);
        sendError(exchange, passed.error);
        return;
      }
      context = passed.value;
    }
    const { route, table } = context;
    await HANDLERS[route!.kind](exchange, route!, table!, this.options);
  }

  /** Returns the team of a caller that makes a call about a batch job, which no route matches. */
  async identify(request: InboundRequest): Reply<CallerIdentity> {
    await this.options.waitUntilReady();
    const table = this.options.readTable();
    if (table === undefined) return err(NO_CONFIGURATION);
    // Whether the job needs a team is known once it is found.
    return identifyTeam(request, table, true).map(({ team }) => ({
      team: team?.name,
      isTeamRequired: table.hasTeams,
    }));
  }

  private logRejection({ exchange, table }: RequestContext, fault: Fault): void {
    this.options.log.write('refused', {
      request: exchange.request.requestId,
      step: fault.step,
      code: fault.code,
      outcome: fault.outcome,
      message: fault.message,
      configuration: table?.version,
      configurationAgeMs: table && Math.round(this.options.configurationAgeMs()),
    });
  }
}
