/** Handlers of events in which callers send online requests. */
import { listEntryVms } from '../trace/header.js';
import type { EventKind, EventOf } from '../trace/events.js';
import { tagRequest } from '../tags.js';
import type { ReplayHarness } from '../replay-harness.js';

interface ChatRequest {
  name: string;
  via: string;
  model: string;
  prompt: string;
  maxTokens: number;
  stream: boolean;
  key?: string | undefined;
  idempotent?: boolean | undefined;
}

const createHeaders = (
  contentType: string,
  { key, idempotent }: Pick<ChatRequest, 'key' | 'idempotent'>,
): Record<string, string> => ({
  'content-type': contentType,
  ...(key === undefined ? {} : { 'idempotency-key': key }),
  ...(idempotent === undefined ? {} : { idempotent: String(idempotent) }),
});

const sendChat = (harness: ReplayHarness, chat: ChatRequest): void => {
  const { name, via, model, maxTokens, stream, key } = chat;
  const tag = { request: name, ...(key === undefined ? {} : { key }) };
  void harness.send(name, via, {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: createHeaders('application/json', chat),
    body: JSON.stringify({
      model,
      stream,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: tagRequest(chat.prompt, tag) }],
    }),
  });
};

export const startChat = (harness: ReplayHarness, event: EventOf<EventKind.Chat>): void =>
  sendChat(harness, { ...event, name: event.id });

/** Spreads the requests evenly over `overMs` and the entry VMs. */
export const startBurst = (harness: ReplayHarness, event: EventOf<EventKind.Burst>): void => {
  const entryVms = listEntryVms(harness.header);
  const { count, overMs } = event;
  for (let index = 0; index < count; index += 1) {
    const name = `${event.id}/${index}`;
    const via = entryVms[index % entryVms.length]!;
    harness.fleet.timer.after((index * overMs) / count, () =>
      sendChat(harness, { ...event, name, via, stream: true }),
    );
  }
};

export const startCall = (harness: ReplayHarness, event: EventOf<EventKind.Call>): void => {
  const { id, via, service, path, body, key } = event;
  const tag = { request: id, ...(key === undefined ? {} : { key }) };
  void harness.send(id, via, {
    method: 'POST',
    path: `/services/${service}${path}`,
    headers: createHeaders('text/plain', event),
    body: tagRequest(body, tag),
  });
};
