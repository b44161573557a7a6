import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { ResponseHandler, type Connection } from './response-handler.js';

const getConnector = (connect: Client.Options['connect']): buildConnector.connector =>
  typeof connect === 'function' ? connect : buildConnector(connect);

/**
 * Finds out whether a connection that has ended was reset. Node.js reports a reset that arrives together with
 * the last bytes as an orderly close, and only a write fails then. An empty one sends nothing.
 */
const detectReset = (socket: Socket): void => {
  socket.once('end', () => socket.write(''));
};

const RESET = 'ECONNRESET';

/** Code of the errors of reset connections. */
const CONNECTION_RESET = 'ERR_CONNECTION_RESET';

/**
 * Gives the error of a reset another code. On the original one, undici finishes the response in progress,
 * which throws while its reader is paused.
 */
const translateReset = (socket: Socket): void => {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === RESET) Object.assign(error, { code: CONNECTION_RESET });
  });
};

/** A client of one server with one connection at a time. */
export class ConnectionClient extends Client {
  private readonly connection: Connection;

  constructor(origin: URL, options: Client.Options) {
    const connection: Connection = {
      socket: undefined,
      hasEndedEarly: false,
      resume: () => {},
    };
    const connector = getConnector(options.connect);
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connector(target, (...result) => {
          const [error, socket] = result;
          if (error === null) {
            // Before undici listens to the end of the connection, at which it completes a response.
            detectReset(socket);
            translateReset(socket);
            socket.once('end', () => {
              // The empty write of detectReset waits for the rest of the request, and shows nothing yet.
              connection.hasEndedEarly = socket.writableLength > 0;
              // All bytes have been read, and undici throws if it finishes a paused response.
              connection.resume();
            });
            connection.socket = socket;
            connection.hasEndedEarly = false;
          }
          callback(...result);
        }),
    });
    this.connection = connection;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandlers,
  ): boolean {
    const response = new ResponseHandler(handler, this.connection);
    const isAvailable = super.dispatch(options, response);
    if (this.closed || this.destroyed) return isAvailable;
    // A client that returns false stays out of its pool until it emits `drain`, which it never does for a
    // request that it refused to queue.
    return isAvailable || response.isRefused;
  }
}
