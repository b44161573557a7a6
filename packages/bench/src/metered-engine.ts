/**
 * An emulated model engine that measures the use of its slots, independently of its load reports.
 */
import {
  estimatePromptTokens,
  ModelEngine,
  type ModelEngineOptions,
  type StreamHandle,
  type StreamSink,
} from '@jujubelanding/stand-ins';
import type { Fault } from '@jujubelanding/errors';
import { FinishReason, RequestClass, type Generation } from '@jujubelanding/types';
import type { Result } from 'neverthrow';
import type { AttemptUsage, BatchLedger } from './batch-ledger.js';
import { parseBurstIndex, isOnlineRequestId } from './request-ids.js';
import { isInWindow, measureOverlap, type MeasurementWindow } from './measurement-window.js';

interface TrackedStream extends AttemptUsage {
  requestClass: RequestClass;
}

/** An interval with more batch streams on the engine than slots that online requests left free. */
export interface SlotExcess {
  startedAt: number;
  endedAt: number;
}

export class MeteredEngine extends ModelEngine {
  readonly excesses: SlotExcess[] = [];

  /** Slot time within the window that online requests did not use. */
  idleSlotMs = 0;

  onlineAttempts = 0;

  /** Online attempts that resumed a response. */
  resumedOnline = 0;

  /** Prompt tokens of online requests. */
  promptTokens = 0;

  /** Prompt tokens of online requests that were found in the prefix cache. */
  cachedTokens = 0;

  /** Indexes of the bursts with requests that reached this engine. */
  readonly burstsHit = new Set<number>();

  /**
   * Streams in order of arrival. The engine admits them in this order, so the first ones hold the
   * slots.
   */
  private held: TrackedStream[] = [];

  /** Number of online streams in `held`. */
  private online = 0;

  /** Time up to which `idleSlotMs` is accumulated. */
  private changedAt = 0;

  private excessStartedAt: number | undefined;

  constructor(
    private readonly modelEngineOptions: ModelEngineOptions,
    private readonly window: MeasurementWindow,
    private readonly ledger: BatchLedger,
  ) {
    super(modelEngineOptions);
  }

  get onlineCount(): number {
    return this.online;
  }

  override start(generation: Generation, sink: StreamSink): Result<StreamHandle, Fault> {
    const stream = this.createTrackedStream(generation);
    this.trackStream(stream);
    const started = super.start(generation, {
      onToken: (token) => {
        this.countToken(stream);
        sink.onToken(token);
      },
      onEnd: (end) => {
        this.untrackStream(stream, end.finishReason === FinishReason.Cancelled);
        this.countPromptTokens(stream, generation, end.cachedTokens);
        sink.onEnd(end);
      },
      onFault: (fault) => {
        this.untrackStream(stream, true);
        sink.onFault(fault);
      },
    });
    if (started.isErr()) this.untrackStream(stream, true);
    else if (stream.requestClass === RequestClass.Online) this.countOnlineAttempt(generation);
    return started;
  }

  /** Completes the measurements up to now; call at the end of a run. */
  finish(): void {
    this.accumulateIdleTime();
    this.held
      .filter(({ requestClass }) => requestClass === RequestClass.Batch)
      .forEach((stream) => this.ledger.interruptAttempt(stream, this.now()));
    if (this.excessStartedAt === undefined) return;
    this.excesses.push({ startedAt: this.excessStartedAt, endedAt: this.now() });
    this.excessStartedAt = undefined;
  }

  private now(): number {
    return this.modelEngineOptions.timer.now();
  }

  private createTrackedStream({ requestId, resumeTokens }: Generation): TrackedStream {
    return {
      requestId,
      requestClass: isOnlineRequestId(requestId) ? RequestClass.Online : RequestClass.Batch,
      admittedAt: undefined,
      firstTokenAt: undefined,
      startIndex: resumeTokens.length,
      tokens: 0,
      windowTokens: 0,
    };
  }

  private countToken(stream: TrackedStream): void {
    const now = this.now();
    stream.tokens += 1;
    if (isInWindow(this.window, now)) stream.windowTokens += 1;
    stream.firstTokenAt ??= now;
  }

  private countPromptTokens(
    stream: TrackedStream,
    { messages }: Generation,
    cachedTokens: number,
  ): void {
    if (stream.requestClass !== RequestClass.Online || !isInWindow(this.window, this.now())) return;
    this.promptTokens += estimatePromptTokens(messages);
    this.cachedTokens += cachedTokens;
  }

  private countOnlineAttempt({ requestId, resumeTokens }: Generation): void {
    this.onlineAttempts += 1;
    if (resumeTokens.length > 0) this.resumedOnline += 1;
    const burst = parseBurstIndex(requestId);
    if (burst !== undefined) this.burstsHit.add(burst);
  }

  private trackStream(stream: TrackedStream): void {
    this.accumulateIdleTime();
    this.held.push(stream);
    if (stream.requestClass === RequestClass.Online) this.online += 1;
    else this.ledger.startAttempt(stream.requestId, stream.startIndex);
    this.updateAdmitted();
    this.updateExcess();
  }

  private untrackStream(stream: TrackedStream, isCancelled: boolean): void {
    const position = this.held.indexOf(stream);
    if (position === -1) return;
    this.accumulateIdleTime();
    this.held.splice(position, 1);
    if (stream.requestClass === RequestClass.Online) this.online -= 1;
    else if (isCancelled) this.ledger.cancelAttempt(stream, this.now());
    else this.ledger.completeAttempt(stream, this.now());
    this.updateAdmitted();
    this.updateExcess();
  }

  private updateAdmitted(): void {
    const now = this.now();
    const count = Math.min(this.held.length, this.settings.slots);
    for (let index = 0; index < count; index += 1) this.held[index]!.admittedAt ??= now;
  }

  private accumulateIdleTime(): void {
    const now = this.now();
    const idle = Math.max(0, this.settings.slots - this.online);
    this.idleSlotMs += measureOverlap(this.window, this.changedAt, now) * idle;
    this.changedAt = now;
  }

  private updateExcess(): void {
    const now = this.now();
    const batch = this.held.length - this.online;
    const isExcess = batch > Math.max(0, this.settings.slots - this.online);
    if (isExcess) {
      this.excessStartedAt ??= now;
    } else if (this.excessStartedAt !== undefined) {
      this.excesses.push({ startedAt: this.excessStartedAt, endedAt: now });
      this.excessStartedAt = undefined;
    }
  }
}
