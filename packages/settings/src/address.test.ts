import test from 'ava';
import { formatAddress, formatDuration, isWildcard, parseAddress, parseDuration } from './index.js';

test('IPv4 and IPv6 addresses are parsed and formatted unchanged', (t) => {
  for (const text of ['127.0.0.1:0', '192.0.2.1:65535', '[::1]:0', '[2001:db8::1]:443']) {
    t.is(parseAddress(text).map(formatAddress).unwrapOr(''), text);
  }
});

test('an ambiguous or incomplete address is rejected', (t) => {
  const invalid = [
    ...['', ':80', '127.0.0.1', '127.0.0.1:', '127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1:8o'],
    ...['::1:80', '[::1]', '[127.0.0.1]:80', 'localhost:80', '256.0.0.1:80', '127.0.0.1:80 '],
  ];
  t.deepEqual(
    invalid.filter((text) => parseAddress(text).isOk()),
    [],
  );
});

test('every spelling of a wildcard address is recognized', (t) => {
  const texts = [
    '0.0.0.0:1',
    '[::]:1',
    '[0:0:0:0:0:0:0:0]:1',
    '[::ffff:0.0.0.0]:1',
    '[::1]:1',
    '10.0.0.0:1',
  ];
  t.deepEqual(
    texts.map((text) => parseAddress(text).map(isWildcard).unwrapOr(undefined)),
    [true, true, true, true, false, false],
  );
});

test('durations need a unit and are formatted in the largest unit that divides them', (t) => {
  t.is(parseDuration('7d').unwrapOr(0), 604_800_000);
  t.is(formatDuration(90_000), '90s');
  t.is(formatDuration(0), '0ms');
  t.deepEqual(
    ['30', '1.5s', '-1s', 's', '1 s', '1w'].filter((text) => parseDuration(text).isOk()),
    [],
  );
});
