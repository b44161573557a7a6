/** Bounds the connections of callers and the time for which a caller neither sends nor reads. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Timer } from '@jujubelanding/timer';
import { RefusalReason, type CallerRefusals } from './caller-refusals.js';
import { ReadProgress } from './read-progress.js';
import { getConnectionKey, readTakenBytes, readUnacknowledged } from './sent-bytes.js';

const CHECK_INTERVAL_MS = 1000;

/** Idle connections that are looked at to find one without a part of a request. */
const MAX_LOOKED_AT = 16;

/** Answer to a head that does not end; the request has not run. */
const HEAD_TIMEOUT_ANSWER = [
  'HTTP/1.1 408 Request Timeout',
  'Content-Length: 0',
  'Connection: close',
  '\r\n',
].join('\r\n');

/** Requests on one connection that wait for the response to an earlier one. */
const MAX_WAITING = 64;

/**
 * Time without a byte of a body after which its connection is closed. Longer than the time after which a
 * reader of bodies refuses it with an answer.
 */
const BODY_STALL_MS = 15_000;

interface WaitingRequest {
  message: IncomingMessage | undefined;
  /** Called with whether the request may begin. */
  settle: (mayBegin: boolean) => void;
}

interface Connection {
  socket: Socket;
  /** True while a request has no complete response. */
  isBusy: boolean;
  waiting: WaitingRequest[];
  /** Request in progress; undefined if nothing is known of its body. */
  message: IncomingMessage | undefined;
  /** Bytes read when the body was last seen to arrive, and that time. */
  bodyBytes: number;
  bodyAt: number;
  /** Undefined while nothing is waiting to be sent. */
  progress: ReadProgress | undefined;
  /** Bytes read at the end of the last request; more of them are a part of the next head. */
  bytesAtEnd: number;
  /** Time at which a part of a head was first seen. */
  headSeenAt: number | undefined;
}

export interface CallerConnectionsOptions {
  timer: Timer;
  maxConnections: number;
  refusals: CallerRefusals;
  headTimeoutMs: () => number;
  /** Time without progress after which a response is closed that its caller does not read. */
  unreadTimeoutMs: number;
  /** Ends the caller with the least progress; returns false if there is none. */
  dropSlowest: () => boolean;
}

const hasPartOfHead = ({ socket, bytesAtEnd }: Connection): boolean =>
  socket.bytesRead > bytesAtEnd;

export class CallerConnections {
  private readonly connections = new Map<Socket, Connection>();

  /** Connections without a request, those idle for longest first. */
  private readonly idle = new Set<Connection>();

  private isChecking = false;

  constructor(private readonly options: CallerConnectionsOptions) {}

  get count(): number {
    return this.connections.size;
  }

  /** Adds a new connection; closes an idle one, or the new one, if there are too many. */
  add(socket: Socket): void {
    if (this.connections.size >= this.options.maxConnections && !this.makeRoom()) {
      this.options.refusals.record(RefusalReason.ConnectionRefused, { connections: this.count });
      socket.destroy();
      return;
    }
    const connection: Connection = {
      socket,
      isBusy: false,
      waiting: [],
      message: undefined,
      bodyBytes: 0,
      bodyAt: 0,
      progress: undefined,
      bytesAtEnd: 0,
      headSeenAt: undefined,
    };
    this.connections.set(socket, connection);
    this.idle.add(connection);
    socket.once('close', () => this.remove(connection));
    this.startChecks();
  }

  /**
   * Resolves with true once no earlier request of the connection is in progress, and with false if the
   * connection ends before. Responses are sent in order, so those to later requests would only take memory.
   */
  beginRequest(socket: Socket, message?: IncomingMessage): Promise<boolean> | boolean {
    const connection = this.connections.get(socket);
    // Refused meanwhile, so the request must not run.
    if (connection === undefined) return false;
    connection.headSeenAt = undefined;
    this.idle.delete(connection);
    if (!connection.isBusy) {
      connection.isBusy = true;
      this.watchBody(connection, message);
      return true;
    }
    if (connection.waiting.length >= MAX_WAITING) {
      this.options.refusals.record(RefusalReason.TooManyWaiting, { connections: this.count });
      socket.destroy();
      return false;
    }
    return new Promise((settle) => {
      connection.waiting.push({ message, settle });
    });
  }

  endRequest(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    const next = connection.waiting.shift();
    if (next !== undefined) {
      this.watchBody(connection, next.message);
      next.settle(true);
      return;
    }
    connection.isBusy = false;
    connection.message = undefined;
    connection.bytesAtEnd = socket.bytesRead;
    this.idle.add(connection);
  }

  private remove(connection: Connection): void {
    this.connections.delete(connection.socket);
    this.idle.delete(connection);
    connection.waiting.splice(0).forEach(({ settle }) => settle(false));
  }

  private watchBody(connection: Connection, message: IncomingMessage | undefined): void {
    Object.assign(connection, { message, bodyAt: this.options.timer.now() });
  }

  private makeRoom(): boolean {
    let chosen: Connection | undefined;
    let lookedAt = 0;
    for (const connection of this.idle) {
      chosen ??= connection;
      if (!hasPartOfHead(connection)) {
        chosen = connection;
        break;
      }
      lookedAt += 1;
      if (lookedAt >= MAX_LOOKED_AT) break;
    }
    if (chosen === undefined) {
      // The connection that is freed serves the next attempt of the caller.
      this.options.dropSlowest();
      return false;
    }
    this.options.refusals.record(RefusalReason.IdleClosed, { connections: this.count });
    this.remove(chosen);
    chosen.socket.destroy();
    return true;
  }

  /** Checks the connections while there are any. */
  private startChecks(): void {
    if (this.isChecking || this.connections.size === 0) return;
    this.isChecking = true;
    const finish = (): void => {
      this.isChecking = false;
      this.startChecks();
    };
    this.options.timer.after(CHECK_INTERVAL_MS, () => {
      this.checkHeads();
      this.checkBodies();
      const unread = this.findUnread();
      if (unread.length === 0) finish();
      else void this.checkUnread(unread).then(finish);
    });
  }

  private checkHeads(): void {
    const now = this.options.timer.now();
    [...this.idle].filter(hasPartOfHead).forEach((connection) => {
      connection.headSeenAt ??= now;
      if (now - connection.headSeenAt < this.options.headTimeoutMs()) return;
      this.options.refusals.record(RefusalReason.HeadStalled, { connections: this.count });
      this.remove(connection);
      connection.socket.end(HEAD_TIMEOUT_ANSWER, () => connection.socket.destroy());
    });
  }

  /** Closes connections with a body that has stopped arriving, whoever reads it. */
  private checkBodies(): void {
    const now = this.options.timer.now();
    [...this.connections.values()].forEach((connection) => {
      const { socket, message } = connection;
      if (message === undefined || message.complete) return;
      // Bytes that are waiting for their reader are not missing.
      if (socket.bytesRead > connection.bodyBytes || message.readableLength > 0) {
        Object.assign(connection, { bodyBytes: socket.bytesRead, bodyAt: now });
      } else if (now - connection.bodyAt >= BODY_STALL_MS) {
        this.close(connection, RefusalReason.BodyStalled);
      }
    });
  }

  /** Returns the connections on which bytes are waiting to be sent and none has been since the last check. */
  private findUnread(): Connection[] {
    const now = this.options.timer.now();
    return [...this.connections.values()].filter((connection) => {
      const { socket } = connection;
      const taken = socket.writableLength === 0 ? undefined : readTakenBytes(socket);
      if (taken === undefined) {
        connection.progress = undefined;
        return false;
      }
      if (connection.progress === undefined) {
        connection.progress = new ReadProgress(now, taken);
        return false;
      }
      return connection.progress.observe(now, { taken, unacknowledged: undefined }) > 0;
    });
  }

  /** Closes those of the connections whose callers have not read for too long. */
  private async checkUnread(connections: readonly Connection[]): Promise<void> {
    // The kernel takes more only once a third of its buffer is free, for which a slow reader needs long.
    const unacknowledged = await readUnacknowledged();
    const now = this.options.timer.now();
    connections.forEach((connection) => {
      const { socket, progress } = connection;
      const taken = readTakenBytes(socket);
      if (taken === undefined || progress === undefined) return;
      const sent = { taken, unacknowledged: unacknowledged.get(getConnectionKey(socket)) };
      if (progress.observe(now, sent) < this.options.unreadTimeoutMs) return;
      this.close(connection, RefusalReason.UnreadStalled);
    });
  }

  private close(connection: Connection, reason: RefusalReason): void {
    this.options.refusals.record(reason, { connections: this.count });
    this.remove(connection);
    connection.socket.destroy();
  }
}
