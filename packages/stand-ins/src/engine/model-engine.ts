/** Emulated model engine with continuous batching, first come, first served, without priorities. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { FinishReason, type Generation, type LoadReport, type Order } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { createLinkFaults, Reachability } from '../link.js';
import { estimatePromptTokens } from './answer.js';
import { ExecutionCounts } from './execution-counts.js';
import { LoadReporter, type LoadSample } from './load-reporter.js';
import { OrderHandler, type FetchWeight } from './order-handler.js';
import { PrefixCache } from './prefix-cache.js';
import { createStreamFaults, DEFAULT_ENGINE_SETTINGS, type EngineSettings } from './settings.js';
import { EngineStream, StreamFault, type StreamSink } from './engine-stream.js';
import { StreamCache } from './stream-cache.js';

export interface ModelEngineOptions {
  timer: Timer;
  random: Random;
  workerId: string;
  settings?: Partial<EngineSettings>;
  fetchWeight?: FetchWeight;
}

/** Handle of a stream in progress. */
export interface StreamHandle {
  cancel(): void;
}

export class ModelEngine {
  readonly faults = createLinkFaults();

  readonly streamFaults = createStreamFaults();

  readonly counts = new ExecutionCounts();

  readonly settings: EngineSettings;

  readonly streamCache: StreamCache;

  private readonly prefixCache: PrefixCache;

  private orderHandler: OrderHandler;

  private readonly reporter: LoadReporter;

  private running: EngineStream[] = [];

  private waiting: EngineStream[] = [];

  private step: Subscription | undefined;

  private paused = false;

  /** Messages that arrived while paused, in order. */
  private deferredMessages: (() => void)[] = [];

  constructor(private readonly options: ModelEngineOptions) {
    const { timer, random, workerId } = options;
    this.settings = { ...DEFAULT_ENGINE_SETTINGS, ...options.settings };
    this.streamCache = new StreamCache(workerId, this.settings.keptStreams);
    this.prefixCache = new PrefixCache(timer, random, this.settings);
    this.orderHandler = this.createOrderHandler();
    this.reporter = new LoadReporter(timer, this.settings.loadReportIntervalMs, () =>
      this.sampleLoad(),
    );
  }

  get workerId(): string {
    return this.options.workerId;
  }

  /** Admits or queues a generation; a refused generation did not run. */
  start(generation: Generation, sink: StreamSink): Result<StreamHandle, Fault> {
    this.reporter.refresh();
    const refusal = this.checkAdmission(generation);
    if (refusal !== undefined) return err(refusal);
    const stream = new EngineStream(generation, sink, this.options.random, this.streamFaults);
    this.waiting.push(stream);
    this.admitWaiting();
    return ok({ cancel: () => this.cancelStream(stream) });
  }

  /** Cancels all streams of a request. */
  cancel(requestId: string): void {
    [...this.running, ...this.waiting]
      .filter((stream) => stream.requestId === requestId)
      .forEach((stream) => this.cancelStream(stream));
  }

  readLoad(afterSequence: number): LoadReport {
    this.reporter.refresh();
    return this.reporter.read(this.prefixCache.readEvents(afterSequence));
  }

  sendOrder(order: Order): Result<void, Fault> {
    this.reporter.refresh();
    return this.orderHandler.accept(order);
  }

  /** Handles a message now, or on resume if the engine is paused. */
  deferWhilePaused(handle: () => void): void {
    if (this.paused) this.deferredMessages.push(handle);
    else handle();
  }

  /** Interrupts all streams and refuses connections until the engine restarts. */
  crash(): void {
    this.reporter.refresh();
    this.deferredMessages = [];
    this.faults.reachability = Reachability.Refusing;
    const interrupted = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    this.cancelStep();
    this.streamCache.clear();
    this.prefixCache.clear();
    interrupted.forEach((stream) => stream.interrupt(this.workerId, 'the engine crashed'));
  }

  /** Restarts a crashed engine with the models of the settings; the crash has emptied its caches. */
  restart(): void {
    this.orderHandler = this.createOrderHandler();
    this.faults.reachability = Reachability.Up;
    this.paused = false;
  }

  /** Stops generating; requests, cancellations and streams hang until the engine resumes. */
  pause(): void {
    this.paused = true;
    this.cancelStep();
  }

  resume(): void {
    this.paused = false;
    const messages = this.deferredMessages;
    this.deferredMessages = [];
    messages.forEach((handle) => handle());
    this.admitWaiting();
  }

  /** Returns the number of streams that occupy slots. */
  countRunning(): number {
    return this.running.length;
  }

  /** Returns the number of generations that wait for a slot. */
  countWaiting(): number {
    return this.waiting.length;
  }

  isPaused(): boolean {
    return this.paused;
  }

  private createOrderHandler(): OrderHandler {
    const { timer, workerId, fetchWeight } = this.options;
    return new OrderHandler(timer, workerId, this.settings, fetchWeight);
  }

  private checkAdmission({ model, adapter, fence }: Generation): Fault | undefined {
    const createRefusal = (code: FaultCode, message: string): Fault => ({
      code,
      outcome: Outcome.NotRun,
      step: 'generate',
      peer: this.workerId,
      message,
    });
    if (!this.orderHandler.models.has(model)) {
      return createRefusal(FaultCode.NotFound, `model ${model} is not loaded`);
    }
    if (adapter !== undefined && !this.orderHandler.adapters.has(adapter)) {
      return createRefusal(FaultCode.NotFound, `adapter ${adapter} is not loaded`);
    }
    if (this.waiting.length >= this.settings.maxQueue) {
      return createRefusal(FaultCode.Overloaded, 'the queue is full');
    }
    const fencing = this.orderHandler.checkGenerationFence(fence);
    return fencing.isErr() ? fencing.error : undefined;
  }

  private admitWaiting(): void {
    if (this.paused) return;
    while (this.running.length < this.settings.slots && this.waiting.length > 0) {
      this.beginPrefill(this.waiting.shift()!);
    }
    this.scheduleStep();
  }

  private beginPrefill(stream: EngineStream): void {
    const { requestId, messages, resumeTokens } = stream.generation;
    this.counts.countExecution(requestId);
    const tokens = estimatePromptTokens(messages) + resumeTokens.length;
    const isCached = this.streamCache.covers(requestId, stream.promptDigest, resumeTokens.length);
    const cachedTokens = this.prefixCache.cachePrompt(messages);
    stream.cachedTokens = isCached ? estimatePromptTokens(messages) : cachedTokens;
    const prefillMs = isCached ? 0 : (tokens - cachedTokens) * this.settings.prefillMsPerToken;
    stream.readyAt = this.options.timer.now() + prefillMs;
    this.running.push(stream);
  }

  private scheduleStep(): void {
    if (this.step !== undefined || this.running.length === 0 || this.paused) return;
    const now = this.options.timer.now();
    const decodingCount = this.running.filter(({ readyAt }) => readyAt <= now).length;
    const earliestReadyAt = Math.min(...this.running.map(({ readyAt }) => readyAt));
    const { stepBaseMs, stepPerStreamMs } = this.settings;
    const delay =
      decodingCount > 0 ? stepBaseMs + stepPerStreamMs * decodingCount : earliestReadyAt - now;
    this.step = this.options.timer.after(delay, () => {
      this.step = undefined;
      this.runStep();
    });
  }

  /** Generates one token for each stream whose prefill is complete. */
  private runStep(): void {
    this.reporter.refresh();
    const now = this.options.timer.now();
    const ready = this.running.filter(({ readyAt }) => readyAt <= now);
    ready.forEach((stream) => this.advanceStream(stream));
    this.admitWaiting();
  }

  private advanceStream(stream: EngineStream): void {
    // A callback of another stream in this step may have cancelled this one.
    if (!this.running.includes(stream)) return;
    if (stream.shouldFail(this.settings.failureMarker)) {
      this.removeStream(stream);
      stream.fail(this.workerId);
      return;
    }
    if (stream.fault === StreamFault.Break && stream.next >= stream.faultIndex) {
      this.removeStream(stream);
      stream.interrupt(this.workerId, 'the stream was interrupted');
      return;
    }
    if (!stream.isComplete()) this.sendToken(stream);
    if (!stream.isComplete() || !this.running.includes(stream)) return;
    this.removeStream(stream);
    stream.sink.onEnd(stream.createEnd());
  }

  private sendToken(stream: EngineStream): void {
    const token = stream.createToken();
    this.counts.countToken(stream.requestId);
    const isFaultToken = token.index === stream.faultIndex;
    if (isFaultToken && stream.fault === StreamFault.Gap) return;
    if (isFaultToken && stream.fault === StreamFault.WrongId) {
      token.requestId = this.options.random.createId();
    }
    if (isFaultToken && stream.fault === StreamFault.Swap) {
      token.requestId = this.running.find((other) => other !== stream)?.requestId ?? 'swapped';
    }
    stream.sink.onToken(token);
  }

  private cancelStream(stream: EngineStream): void {
    if (!this.running.includes(stream) && !this.waiting.includes(stream)) return;
    this.reporter.refresh();
    this.removeStream(stream);
    stream.sink.onEnd({
      ...stream.createEnd(),
      tokenCount: stream.next,
      finishReason: FinishReason.Cancelled,
    });
    this.admitWaiting();
  }

  private removeStream(stream: EngineStream): void {
    const { promptDigest, next: tokens } = stream;
    const now = this.options.timer.now();
    if (stream.readyAt <= now) this.streamCache.keep(stream.requestId, { promptDigest, tokens });
    this.running = this.running.filter((other) => other !== stream);
    this.waiting = this.waiting.filter((other) => other !== stream);
  }

  private cancelStep(): void {
    this.step?.cancel();
    this.step = undefined;
  }

  private sampleLoad(): LoadSample {
    return {
      workerId: this.workerId,
      slots: this.settings.slots,
      running: this.running.length,
      waiting: this.waiting.length,
      models: [...this.orderHandler.models],
      adapters: [...this.orderHandler.adapters],
      versions: Object.fromEntries(this.orderHandler.versions),
      role: this.orderHandler.role,
      streams: this.running.map(({ requestId }) => requestId),
    };
  }
}
