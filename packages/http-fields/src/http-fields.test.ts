import test from 'ava';
import { findInvalidPart, RequestPart, selectEndToEndHeaders } from './index.js';

test('headers of one connection are not forwarded, in any case and in any form', (t) => {
  const headers = {
    Connection: 'close, X-First',
    connection: 'x-second',
    'X-First': 'a',
    'x-second': 'b',
    'Keep-Alive': 'timeout=5',
    'TRANSFER-ENCODING': 'chunked',
    'Content-Length': '5',
    Expect: '100-continue',
    Upgrade: 'websocket',
    Host: 'another.example',
    TE: 'trailers',
    Trailer: 'x-third',
    'Proxy-Connection': 'keep-alive',
    'X-Omitted': 'c',
    'X-Absent': undefined,
    'X-Note': 'kept',
    ['__proto__']: 'kept',
  };
  const selected = selectEndToEndHeaders(headers, 'x-omitted');
  t.deepEqual(Object.entries(selected).sort(), [
    ['__proto__', 'kept'],
    ['x-note', 'kept'],
  ]);
});

test('repeated headers keep all their values', (t) => {
  t.deepEqual(selectEndToEndHeaders({ 'Set-Cookie': ['a', 'b'], connection: ['x-a', 'x-b'] }), {
    'set-cookie': ['a', 'b'],
  });
});

const VALID = { id: 'item-1', target: '/a?b=c', headers: { 'x-note': 'a' } };

test('a request that HTTP can carry has no invalid part', (t) => {
  const requests = [
    VALID,
    { ...VALID, id: 'x' },
    { ...VALID, id: 'an id \u00e9' },
    { ...VALID, target: '/' },
    { ...VALID, target: '/a#b"c|\u00e9' },
    { ...VALID, headers: { 'x-note': '' } },
    { ...VALID, headers: { 'x-note': ' a\tb\u00ff ' } },
    { ...VALID, headers: { "!#$%&'*+-.^_`|~09": ['a', 'b'] } },
  ];
  for (const request of requests) t.is(findInvalidPart(request), undefined);
});

test('the first part that HTTP cannot carry is named', (t) => {
  const findPart = (change: Partial<Parameters<typeof findInvalidPart>[0]>) => {
    const { part, name, value } = findInvalidPart({ ...VALID, ...change }) ?? {};
    return [part, name, value];
  };
  for (const id of ['', ' ', 'a ', '\ta', 'a\nb', '\u65e5', '\ud800', 'a\u007f']) {
    t.deepEqual(findPart({ id }), [RequestPart.Id, undefined, id]);
  }
  for (const target of ['', 'a', '/a b', '/a\tb', '/a\r\nx: y', '/\u65e5', '/\u0000']) {
    t.deepEqual(findPart({ target }), [RequestPart.Target, undefined, target]);
  }
  for (const name of ['', 'x note', 'x:', 'x\n', '(x)', 'x\u00e9']) {
    t.deepEqual(findPart({ headers: { [name]: 'a' } }), [RequestPart.HeaderName, name, name]);
  }
  for (const value of ['a\nb', 'a\r', '\u0000', '\u007f', '\u65e5', '\udc00']) {
    const expected = [RequestPart.HeaderValue, 'x-note', value];
    t.deepEqual(findPart({ headers: { 'x-note': value } }), expected);
    t.deepEqual(findPart({ headers: { 'x-note': ['a', value] } }), expected);
  }
});
