import { createSocket, type Socket } from 'node:dgram';
import { getErrorMessage, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { err, ok } from 'neverthrow';
import { pack, unpack } from 'msgpackr';
import { messageSchema, type LoadMessage } from './load-message.js';

/** UDP socket for load messages. */
export interface LoadSocket {
  send(message: LoadMessage, addresses: readonly string[]): void;
  close(): void;
}

const receive = (content: Buffer, log: Log, onMessage: (message: LoadMessage) => void): void => {
  try {
    const parsed = messageSchema.safeParse(unpack(content));
    if (parsed.success) onMessage(parsed.data);
    else log.write('datagram-rejected', { message: parsed.error.message });
  } catch (thrown) {
    log.write('datagram-rejected', { message: getErrorMessage(thrown) });
  }
};

const createLoadSocket = (socket: Socket, log: Log): LoadSocket => {
  let isClosed = false;
  return {
    send: (message, addresses) => {
      // Requests that the end of the process cuts still change the load; Node throws on a closed socket.
      if (isClosed) return;
      const content = pack(message);
      for (const address of addresses) {
        const [host, port] = address.split(':');
        // A lost datagram is not resent, because the next one carries the current state.
        socket.send(content, Number(port), host, (error) => {
          if (error) log.write('datagram-lost', { peer: address, message: error.message });
        });
      }
    },
    close: () => {
      isClosed = true;
      socket.close();
    },
  };
};

/** Opens a socket bound to `address`, given as host:port. */
export const openLoadSocket = (
  address: string,
  log: Log,
  onMessage: (message: LoadMessage) => void,
): Reply<LoadSocket> => {
  const [host, port] = address.split(':');
  const socket = createSocket('udp4');
  socket.on('message', (content) => receive(content, log, onMessage));
  return new Promise((resolve) => {
    socket.once('error', (thrown) => {
      const message = getErrorMessage(thrown);
      const fault = { code: FaultCode.Unavailable, outcome: Outcome.NotRun, step: 'bind' };
      resolve(err({ ...fault, peer: address, message }));
    });
    socket.bind(Number(port), host, () => {
      socket.removeAllListeners('error');
      socket.on('error', (thrown) => log.write('socket-error', { message: thrown.message }));
      resolve(ok(createLoadSocket(socket, log)));
    });
  });
};
