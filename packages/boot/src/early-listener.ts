/** Listener that opens before the server of its connections exists. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/**
 * Connections that the kernel keeps while the process loads its program; Node's default of 511 is less than
 * what arrives at a VM in half a second of a load peak after a restart of the fleet. The kernel may lower it.
 */
const BACKLOG = 1024;

const ignoreError = (): void => {};

export class EarlyListener {
  /** Accepts connections without reading from them. */
  private readonly early: Server;

  private readonly waiting = new Set<Socket>();

  /** Settles once the listener is open or has failed; the value is the error message. */
  readonly opened: Promise<string | undefined>;

  private failure: string | undefined;

  constructor(readonly address: string) {
    const [host, port] = address.split(':');
    // The options that Node's HTTP server sets for its connections.
    this.early = createServer({ pauseOnConnect: true, noDelay: true, allowHalfOpen: true });
    this.early.on('connection', (socket) => this.keep(socket));
    this.opened = new Promise((resolve) => {
      this.early.once('error', ({ message }) => {
        this.failure = message;
        resolve(message);
      });
      this.early.listen({ host: host!, port: Number(port), backlog: BACKLOG }, () => {
        resolve(undefined);
      });
    });
  }

  get port(): number {
    return (this.early.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Number of connections that are accepted and not handed over. */
  get waitingConnections(): number {
    return this.waiting.size;
  }

  /**
   * Makes the server listen instead, and gives it the connections accepted so far. Call it once `opened` has
   * settled. Returns why the listener did not open, if so.
   */
  handOver(server: Server): string | undefined {
    if (this.failure !== undefined) return this.failure;
    // The server takes the open handle of the other one.
    server.listen(this.early, BACKLOG);
    this.waiting.forEach((socket) => {
      socket.off('error', ignoreError);
      server.emit('connection', socket);
      socket.resume();
    });
    this.waiting.clear();
    return undefined;
  }

  /** Closes the listener and all connections that are not handed over. */
  close(): void {
    this.early.close();
    this.waiting.forEach((socket) => socket.destroy());
    this.waiting.clear();
  }

  private keep(socket: Socket): void {
    socket.on('error', ignoreError);
    socket.once('close', () => this.waiting.delete(socket));
    this.waiting.add(socket);
  }
}
