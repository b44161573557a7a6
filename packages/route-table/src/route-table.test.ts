import test from 'ava';
import { RouteKind, RouteTable, type Route } from './index.js';

const createRoute = (name: string, host: string, prefix: string): Route => ({
  name,
  host,
  prefix,
  kind: RouteKind.Idempotent,
  timeoutMs: 1000,
  objectiveMs: 100,
  priority: 0,
  targets: [{ service: name, weight: 1 }],
  maxAttempts: 1,
  isResumable: false,
});

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

const table = new RouteTable({
  version: 1,
  routes: [
    createRoute('root', 'a.example', '/'),
    createRoute('short', 'a.example', '/x/'),
    createRoute('long', 'a.example', '/x/y/'),
    createRoute('other', 'b.example', '/x/'),
  ],
  services: [],
  limits,
});

test('the longest prefix of the host wins, so that no request runs on the service of another route', (t) => {
  const find = (host: string, target: string): string | undefined =>
    table.match(host, target)?.name;
  t.snapshot({
    exact: find('a.example', '/x/y/'),
    inside: find('a.example', '/x/y/z?q=/x/'),
    shorter: find('a.example', '/x/z/y/'),
    withoutSlash: find('a.example', '/x'),
    root: find('a.example', '/q'),
    port: find('A.example:80', '/x/1'),
    otherHost: find('b.example', '/x/y/1'),
    noPrefix: find('b.example', '/y'),
    noHost: find('c.example', '/x/1'),
  });
});

test('a split route distributes requests by weight; a target with weight zero gets none', (t) => {
  const route = {
    ...createRoute('split', 'a.example', '/'),
    targets: [
      { service: 'none', weight: 0 },
      { service: 'most', weight: 90 },
      { service: 'few', weight: 10 },
    ],
  };
  const draws = Array.from({ length: 100 }, (_, index) => index / 100);
  const chosen = draws.map((draw) => RouteTable.chooseService(route, draw, () => true));
  t.is(chosen.filter((service) => service === 'most').length, 90);
  t.is(chosen.filter((service) => service === 'few').length, 10);
});

// A request whose draw fell on a service that had lost all its workers was refused, and an item waited,
// beside idle workers of the other services.
test('the share of a service without workers goes to the others, except to those with weight zero', (t) => {
  const targets = [
    { service: 'none', weight: 0 },
    { service: 'lost', weight: 50 },
    { service: 'most', weight: 40 },
    { service: 'few', weight: 10 },
  ];
  const route = { ...createRoute('split', 'a.example', '/'), targets };
  const draws = Array.from({ length: 100 }, (_, index) => index / 100);
  const choose = (available: readonly string[]): (string | undefined)[] =>
    draws.map((draw) =>
      RouteTable.chooseService(route, draw, (service) => available.includes(service)),
    );
  const chosen = choose(['none', 'most', 'few']);
  t.is(chosen.filter((service) => service === 'most').length, 80);
  t.is(chosen.filter((service) => service === 'few').length, 20);
  t.deepEqual(choose(['none']), choose(['lost', 'most', 'few']), 'all draws stay as they are');
});
