/** `chat TEXT`: sends a prompt to a model and streams the response. */
import { Repetition } from '../../client/client.js';
import { type Command, Credential } from '../../command-line/command.js';
import { Flag } from '../../command-line/flags.js';
import { parseIntegerFlag } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { OutputFormat, reportFault, reportUsageErrors, writeResult } from '../../output/output.js';
import { readCompletion } from './read-completion.js';

export const chat: Command = {
  description: 'Sends a prompt to a model and streams the response.',
  positional: ['TEXT'],
  flags: [Flag.Model, Flag.Adapter, Flag.MaxTokens],
  credential: Credential.Team,
  run: async (args, client, output) => {
    const { values, positional } = args;
    const maxTokens = parseIntegerFlag(args, Flag.MaxTokens);
    if (maxTokens.isErr()) return reportUsageErrors(output, [maxTokens.error]);
    if (values[Flag.Model] === undefined) {
      return reportUsageErrors(output, [
        `--${Flag.Model}: missing; allowed: the name of a model record`,
      ]);
    }
    const body = JSON.stringify({
      model: values[Flag.Model],
      adapter: values[Flag.Adapter],
      messages: [{ role: 'user', content: positional[0] }],
      // Omitted if undefined; the maximum of the model record then applies.
      max_tokens: maxTokens.value,
      stream: true,
    });
    const opened = await client.open({
      method: 'POST',
      path: '/v1/chat/completions',
      repetition: Repetition.Never,
      headers: { 'content-type': 'application/json', accept: 'text/event-stream' },
      createBody: () => body,
    });
    if (opened.isErr()) return reportFault(output, opened.error);
    const completion = await readCompletion(opened.value.body, opened.value.peer, (text) => {
      if (output.format === OutputFormat.Table) output.write(text);
    });
    if (output.format === OutputFormat.Table) output.write('\n');
    if (completion.isErr()) return reportFault(output, completion.error);
    if (output.format === OutputFormat.Json) writeResult(output, completion.value, () => '');
    return ExitCode.Ok;
  },
};
