import test from 'ava';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { RouteKind } from '@jujubelanding/route-table';
import { decideNext, isWorkerFault, NextStep, type AttemptState } from './attempt-policy.js';

const createFault = (outcome: Outcome): Fault => ({
  code: FaultCode.Interrupted,
  outcome,
  step: 'forward',
  message: 'broken',
});

const base: AttemptState = {
  fault: createFault(Outcome.OutcomeUnknown),
  status: undefined,
  kind: RouteKind.Idempotent,
  isResumable: false,
  hasStarted: false,
  canResume: false,
  isAborted: false,
  runs: 1,
  sends: 1,
  maxRuns: 2,
  remainingMs: 1000,
};

const mayRepeat = (change: Partial<AttemptState>): boolean =>
  decideNext({ ...base, ...change }) === NextStep.TryAnother;

test('a request that may have run is retried only if it may run twice', (t) => {
  t.true(mayRepeat({}));
  t.false(mayRepeat({ kind: RouteKind.NonIdempotent }));
  t.false(mayRepeat({ kind: RouteKind.Streaming }));
  t.true(mayRepeat({ kind: RouteKind.Streaming, isResumable: true }));
  t.false(mayRepeat({ kind: RouteKind.Streaming, isResumable: true, hasStarted: true }));
  t.true(
    mayRepeat({ kind: RouteKind.Streaming, isResumable: true, hasStarted: true, canResume: true }),
  );
});

test('a request that did not run is sent to another worker, whatever its kind', (t) => {
  const fault = createFault(Outcome.NotRun);
  t.true(mayRepeat({ fault, kind: RouteKind.NonIdempotent, runs: 0 }));
  t.true(mayRepeat({ fault, kind: RouteKind.Streaming, runs: 0 }));
});

test('attempts end at the limits of runs and sends, at the deadline, or without a caller', (t) => {
  t.false(mayRepeat({ runs: 2 }));
  t.false(mayRepeat({ sends: 5 }));
  t.false(mayRepeat({ remainingMs: 5 }));
  t.false(mayRepeat({ isAborted: true }));
  t.false(mayRepeat({ fault: undefined, status: 200 }));
  t.true(mayRepeat({ fault: undefined, status: 500 }));
  t.false(mayRepeat({ fault: undefined, status: 404 }));
});

// Each further worker would have lost a connection to a request that no connection can carry.
test('a request that HTTP cannot carry is not sent to another worker', (t) => {
  const fault = { ...createFault(Outcome.NotRun), code: FaultCode.InvalidInput };
  t.false(mayRepeat({ fault, runs: 0 }));
  t.false(mayRepeat({ fault, kind: RouteKind.NonIdempotent, runs: 0 }));
});

test('full workers and requests that cannot be written are no faults of workers', (t) => {
  const isBlamed = (code: FaultCode): boolean =>
    isWorkerFault({ ...createFault(Outcome.NotRun), code });
  t.false(isBlamed(FaultCode.Overloaded));
  t.false(isBlamed(FaultCode.InvalidInput));
  t.true(isBlamed(FaultCode.Unavailable));
  t.true(isBlamed(FaultCode.Timeout));
});
