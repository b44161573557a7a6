import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { ResponseHandler } from './response-handler.js';

const getConnector = (connect: Client.Options['connect']): buildConnector.connector =>
  typeof connect === 'function' ? connect : buildConnector(connect);

/**
 * Finds out whether a connection that has ended was reset. Node.js reports a reset that arrives together with
 * the last bytes as an orderly close, and only a write fails then. An empty one sends nothing.
 */
const detectReset = (socket: Socket): void => {
  socket.once('end', () => socket.write(''));
};

/** A client of one server with one connection at a time. */
export class ConnectionClient extends Client {
  private readonly connection: { socket: Socket | undefined };

  constructor(origin: URL, options: Client.Options) {
    const connection: { socket: Socket | undefined } = { socket: undefined };
    const connector = getConnector(options.connect);
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connector(target, (...result) => {
          const [error, socket] = result;
          if (error === null) {
            // Before undici listens to the end of the connection, at which it completes a response.
            detectReset(socket);
            connection.socket = socket;
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
    return super.dispatch(options, new ResponseHandler(handler, () => this.connection.socket));
  }
}
