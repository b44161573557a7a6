import test from 'ava';
import { FaultCode, Outcome, toProblemDetails } from '@jujubelanding/errors';
import { ExitCode } from '../../exit-code.js';
import { runTool } from '../../fixtures/run-tool.js';
import { TestEntryVm } from '../../fixtures/test-entry-vm.js';

const createEvent = (content: string, finishReason: string | null = null): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content }, finish_reason: finishReason }] })}\n\n`;

const DONE = 'data: [DONE]\n\n';
const CHAT = ['chat', 'Which glass?', '--model', 'advisor'];

const startEntryVm = async (
  t: { teardown: (end: () => Promise<void>) => void },
  body: string,
): Promise<TestEntryVm> => {
  const entryVm = new TestEntryVm();
  entryVm.route('POST', '/v1/chat/completions', () => new Response(body));
  await entryVm.start();
  t.teardown(() => entryVm.stop());
  return entryVm;
};

test('a completion is streamed as text, or written as one JSON document with --json', async (t) => {
  const events = createEvent('Clear ') + createEvent('crown.') + createEvent('', 'stop') + DONE;
  const entryVm = await startEntryVm(t, events);
  const asText = await runTool(CHAT, [entryVm]);
  t.deepEqual([asText.code, asText.stdout], [ExitCode.Ok, 'Clear crown.\n']);
  const asJson = await runTool([...CHAT, '--json'], [entryVm]);
  t.deepEqual(JSON.parse(asJson.stdout), { text: 'Clear crown.', finishReason: 'stop' });
});

test('a stream without end event, with an error event or with an invalid event fails', async (t) => {
  const fault = { code: FaultCode.Interrupted, outcome: Outcome.Failed, step: 's', message: 'm' };
  const errorEvent = `event: error\ndata: ${JSON.stringify(toProblemDetails(fault))}\n\n`;
  const start = createEvent('Clear ');
  const bodies = [
    start,
    start + createEvent('', 'stop'),
    start + DONE,
    start + errorEvent,
    `${start}data: {"choices"\n\n${createEvent('', 'stop')}${DONE}`,
    start + createEvent('', 'cancelled') + DONE,
  ];
  for (const body of bodies) {
    const entryVm = await startEntryVm(t, body);
    t.is((await runTool(CHAT, [entryVm])).code, ExitCode.Failed);
  }
});
