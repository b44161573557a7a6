import type { RecordRevision, StoredValue } from '@jujubelanding/records';
import { RecordKind } from '@jujubelanding/types';
import test from 'ava';
import { appendRevision, MAX_HISTORY, MAX_RECORD_BYTES, MIN_HISTORY } from './history.js';

const createRevision = (revision: number, weight = 'w'): RecordRevision => ({
  revision,
  stored: {
    kind: RecordKind.Version,
    name: 'v1',
    schemaVersion: 1,
    spec: { weight },
    writeId: `write-${revision}`,
    author: 'ops',
    time: 0,
  } satisfies StoredValue,
});

test('the history keeps the newest revisions within its bounds', (t) => {
  let history: RecordRevision[] = [];
  for (let revision = 1; revision <= 50; revision += 1) {
    history = appendRevision(history, createRevision(revision));
  }
  t.is(history.length, MAX_HISTORY);
  t.is(history[0]!.revision, 50);
  let large: RecordRevision[] = [];
  for (let revision = 1; revision <= 50; revision += 1) {
    large = appendRevision(large, createRevision(revision, 'w'.repeat(MAX_RECORD_BYTES)));
  }
  t.true(large.length >= MIN_HISTORY);
  t.true(JSON.stringify(large).length < 1024 * 1024);
});
