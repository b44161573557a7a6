/** A model engine that measures how its slots are used, independent of its load reports. */
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
import type { AttemptTimes, BatchLedger } from './batch-ledger.js';
import { parseBurst, isOnlineId } from './request-ids.js';
import { isWithin, measureOverlap, type Window } from './window.js';

interface HeldStream extends AttemptTimes {
  requestClass: RequestClass;
}

/** A time during which more batch streams were held than online requests left room for. */
export interface Excess {
  startedAt: number;
  endedAt: number;
}

export class MeteredEngine extends ModelEngine {
  readonly excesses: Excess[] = [];

  /** Slot-milliseconds of the window that online requests did not use. */
  idleSlotMs = 0;

  onlineAttempts = 0;

  /** Online attempts that continued an answer. */
  resumedOnline = 0;

  /** Online prompt tokens, and those found in the prefix cache. */
  promptTokens = 0;

  cachedTokens = 0;

  /** Bursts whose requests reached this engine. */
  readonly burstsHit = new Set<number>();

  /** In order of arrival; the engine admits in this order, so the first ones hold the slots. */
  private held: HeldStream[] = [];

  private online = 0;

  private changedAt = 0;

  private excessSince: number | undefined;

  constructor(
    private readonly meterOptions: ModelEngineOptions,
    private readonly window: Window,
    private readonly ledger: BatchLedger,
  ) {
    super(meterOptions);
  }

  get onlineHeld(): number {
    return this.online;
  }

  override start(generation: Generation, sink: StreamSink): Result<StreamHandle, Fault> {
    const stream = this.createHeld(generation);
    this.hold(stream);
    const started = super.start(generation, {
      onToken: (token) => {
        this.countToken(stream);
        sink.onToken(token);
      },
      onEnd: (end) => {
        this.release(stream, end.finishReason === FinishReason.Cancelled);
        this.countPrompt(stream, generation, end.cachedTokens);
        sink.onEnd(end);
      },
      onFault: (fault) => {
        this.release(stream, true);
        sink.onFault(fault);
      },
    });
    if (started.isErr()) this.release(stream, true);
    else if (stream.requestClass === RequestClass.Online) this.countOnline(generation);
    return started;
  }

  /** Accounts time up to now; call at the end of a run. */
  finish(): void {
    this.account();
    this.held
      .filter(({ requestClass }) => requestClass === RequestClass.Batch)
      .forEach((stream) => this.ledger.interrupt(stream, this.now()));
    if (this.excessSince === undefined) return;
    this.excesses.push({ startedAt: this.excessSince, endedAt: this.now() });
    this.excessSince = undefined;
  }

  private now(): number {
    return this.meterOptions.timer.now();
  }

  private createHeld({ requestId, resumeTokens }: Generation): HeldStream {
    return {
      requestId,
      requestClass: isOnlineId(requestId) ? RequestClass.Online : RequestClass.Batch,
      admittedAt: undefined,
      firstTokenAt: undefined,
      startIndex: resumeTokens.length,
      tokens: 0,
      windowTokens: 0,
    };
  }

  private countToken(stream: HeldStream): void {
    const now = this.now();
    stream.tokens += 1;
    if (isWithin(this.window, now)) stream.windowTokens += 1;
    stream.firstTokenAt ??= now;
  }

  private countPrompt(stream: HeldStream, { messages }: Generation, cachedTokens: number): void {
    if (stream.requestClass !== RequestClass.Online || !isWithin(this.window, this.now())) return;
    this.promptTokens += estimatePromptTokens(messages);
    this.cachedTokens += cachedTokens;
  }

  private countOnline({ requestId, resumeTokens }: Generation): void {
    this.onlineAttempts += 1;
    if (resumeTokens.length > 0) this.resumedOnline += 1;
    const burst = parseBurst(requestId);
    if (burst !== undefined) this.burstsHit.add(burst);
  }

  private hold(stream: HeldStream): void {
    this.account();
    this.held.push(stream);
    if (stream.requestClass === RequestClass.Online) this.online += 1;
    else this.ledger.begin(stream.requestId, stream.startIndex);
    this.admitHeld();
    this.updateExcess();
  }

  private release(stream: HeldStream, isCancelled: boolean): void {
    const position = this.held.indexOf(stream);
    if (position === -1) return;
    this.account();
    this.held.splice(position, 1);
    if (stream.requestClass === RequestClass.Online) this.online -= 1;
    else if (isCancelled) this.ledger.cancel(stream, this.now());
    else this.ledger.complete(stream, this.now());
    this.admitHeld();
    this.updateExcess();
  }

  private admitHeld(): void {
    const now = this.now();
    const count = Math.min(this.held.length, this.settings.slots);
    for (let index = 0; index < count; index += 1) this.held[index]!.admittedAt ??= now;
  }

  private account(): void {
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
      this.excessSince ??= now;
    } else if (this.excessSince !== undefined) {
      this.excesses.push({ startedAt: this.excessSince, endedAt: now });
      this.excessSince = undefined;
    }
  }
}
