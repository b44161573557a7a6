import type { RecordRevision, StoredValue } from '@jujubelanding/records';
import { RecordKind } from '@jujubelanding/types';
import test from 'ava';
import {
  appendRevision,
  MAX_HISTORY_REVISIONS,
  MAX_RECORD_BYTES,
  MIN_HISTORY_REVISIONS,
} from './history.js';

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

test('the history keeps the newest revisions within its limits', (t) => {
  let history: RecordRevision[] = [];
  for (let revision = 1; revision <= 50; revision += 1) {
    history = appendRevision(history, createRevision(revision));
  }
  t.is(history.length, MAX_HISTORY_REVISIONS);
  t.is(history[0]!.revision, 50);
  let large: RecordRevision[] = [];
  for (let revision = 1; revision <= 50; revision += 1) {
    large = appendRevision(large, createRevision(revision, 'w'.repeat(MAX_RECORD_BYTES)));
  }
  t.true(large.length >= MIN_HISTORY_REVISIONS);
  t.true(JSON.stringify(large).length < 1024 * 1024);
});
