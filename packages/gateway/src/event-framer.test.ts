import test from 'ava';
import { EventFramer } from './event-framer.js';

test('events are complete and unchanged however the bytes are chunked', (t) => {
  const bytes = Buffer.from(
    'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 2\nid: 3\ndata: c\n\n',
  );
  for (let size = 1; size <= bytes.length; size += 1) {
    const framer = new EventFramer();
    const events = [];
    for (let start = 0; start < bytes.length; start += size) {
      events.push(...framer.push(bytes.subarray(start, start + size))!);
    }
    t.deepEqual(
      events.map(({ id }) => id),
      [1, 2, 3],
    );
    t.deepEqual(Buffer.concat(events.map((event) => event.bytes)), bytes);
    t.false(framer.hasPartialEvent);
  }
});

test('a truncated event is never returned', (t) => {
  const framer = new EventFramer();
  t.deepEqual(framer.push(Buffer.from('id: 1\ndata: a\n')), []);
  t.true(framer.hasPartialEvent);
});
