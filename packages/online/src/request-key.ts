/** Keys that stay the same when a caller sends a request again. */
import type { OnlineGenerationRequest, OnlineServiceRequest } from '@jujubelanding/interfaces';
import { computeRequestKey } from '@jujubelanding/prompt-quarantine';

export const computeGenerationKey = (
  { generation, team }: OnlineGenerationRequest,
  promptPrefixes: readonly string[],
): string => {
  const { model, adapter = null, messages, maxTokens } = generation;
  return computeRequestKey({
    method: 'POST',
    host: model,
    target: 'chat/completions',
    headers: { authorization: team },
    body: Buffer.from(JSON.stringify([adapter, messages, maxTokens])),
    promptPrefixes,
  });
};

export const computeCallKey = ({ service, request, team }: OnlineServiceRequest): string => {
  const { method, path, body } = request;
  return computeRequestKey({
    method,
    host: service,
    target: path,
    headers: { authorization: team },
    body,
    promptPrefixes: [],
  });
};
