import { silentLog } from '@jujubelanding/log';
import test from 'ava';
import { MessageKind, type LoadMessage } from './load-message.js';
import { openLoadSocket } from './load-socket.js';

const message: LoadMessage = {
  kind: MessageKind.Plan,
  plannerId: 'vm-1',
  bootId: 'boot-1',
  sequence: 1,
  starts: [],
  cuts: [],
};

// Guards against a process that ends with an exception while it stops: requests in progress end after the
// socket is closed and change the load.
test('a message that is sent after the socket was closed is dropped', async (t) => {
  const opened = await openLoadSocket('127.0.0.1:0', silentLog, () => {});
  if (opened.isErr()) {
    t.fail(opened.error.message);
    return;
  }
  opened.value.close();
  t.notThrows(() => opened.value.send(message, ['127.0.0.1:9']));
});
