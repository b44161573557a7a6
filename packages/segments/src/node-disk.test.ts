import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import test from 'ava';
import { FaultCode } from '@jujubelanding/errors';
import { getFault, getValue } from './fixtures/segment-fleet.js';
import { NodeDisk } from './index.js';

test('files are written whole, listed and removed; temporary files left by a crash are not listed', async (t) => {
  const root = await mkdtemp(path.join(tmpdir(), 'node-disk-'));
  t.teardown(() => rm(root, { recursive: true, force: true }));
  const disk = new NodeDisk(root);
  t.deepEqual(getValue(await disk.list('segments')), []);
  getValue(await disk.write('segments/a', Buffer.from('first')));
  getValue(await disk.write('segments/a', Buffer.from('second')));
  await writeFile(path.join(root, 'segments', 'b.1-1.tmp'), 'half');
  t.is(Buffer.from(getValue(await disk.read('segments/a'))).toString(), 'second');
  t.deepEqual(getValue(await disk.list('segments')), ['segments/a']);
  getValue(await disk.removeTemporaryFiles());
  getValue(await disk.remove('segments/a'));
  t.is(getFault(await disk.read('segments/a')).code, FaultCode.NotFound);
});
