import test from 'ava';
import { ExitCode } from '../../exit-code.js';
import { runTool } from '../../fixtures/run-tool.js';

/** Log lines with the prefix of a collector; the clock of front-pta-north-2 is 200 ms ahead. */
const LINES = `
  9.1502 front-jhb-west-1 time=2026-03-11T11:22:40.000Z event=configuration vm=front-jhb-west-1 part=configuration version=7 former=4 routes=16
  9.1510 front-jhb-east-1 time=2026-03-11T11:22:40.003Z event=configuration vm=front-jhb-east-1 part=configuration version=7 former=4 routes=16
  9.1522 front-pta-north-2 time=2026-03-11T11:22:40.201Z event=configuration vm=front-pta-north-2 part=configuration version=7 former=4 routes=16
 10.6370 front-jhb-west-1 time=2026-03-11T11:22:41.400Z event=job-submitted vm=front-jhb-west-1 part=batch job=e0f29d1c0c6a3a0e items=8 outcome=accepted durationMs=12
 10.7370 front-jhb-west-1 time=2026-03-11T11:22:41.500Z event=item-run vm=front-jhb-west-1 part=execution job=e0f29d1c0c6a3a0e item=728a8323b0d54465 worker=i-12b4d4ea87 outcome=interrupted events=47 failures=0 code=stream-interrupted message="forward at i-12b4d4ea87: read ECONNRESET"
 10.8370 front-pta-north-2 time=2026-03-11T11:22:41.720Z event=job-taken vm=front-pta-north-2 part=execution job=e0f29d1c0c6a3a0e held=false
 10.9370 front-jhb-west-1 time=2026-03-11T11:22:41.510Z event=job-dropped vm=front-jhb-west-1 part=execution job=e0f29d1c0c6a3a0e reason="taken by another VM"
not a log line
 19.6625 front-pta-north-2 time=2026-03-11T11:22:50.436Z event=item-run vm=front-pta-north-2 part=execution job=e0f29d1c0c6a3a0e item=728a8323b0d54465 worker=i-c637a4103c outcome=completed events=111 failures=0
`;

// Guards against ordering log lines by clocks that are not synchronized.
test('the log lines of a job on several VMs are ordered by time corrected for clock offsets', async (t) => {
  const result = await runTool(['explain', 'e0f29d1c0c6a3a0e', '-'], [], { input: LINES });
  t.is(result.code, ExitCode.Ok);
  t.snapshot(result.stdout);
});

test('the log lines of an item are found by its id', async (t) => {
  const argv = ['explain', '728a8323b0d54465', '-', '--json'];
  const result = await runTool(argv, [], { input: LINES });
  t.snapshot(JSON.parse(result.stdout));
});

test('an id that occurs in no log line and a missing file are reported', async (t) => {
  const unknownId = await runTool(['explain', 'e0f2', '-'], [], { input: LINES });
  t.deepEqual(
    [unknownId.code, unknownId.stderr],
    [ExitCode.Usage, 'e0f2: not found in 8 log lines\n'],
  );
  const missingFile = await runTool(['explain', 'e0f2', 'no-such-file'], []);
  t.is(missingFile.code, ExitCode.Usage);
  t.regex(missingFile.stderr, /^no-such-file: /);
});
