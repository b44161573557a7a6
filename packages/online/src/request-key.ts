/** Keys that stay the same when a caller sends a request again. */
import type { OnlineGenerationRequest, OnlineServiceRequest } from '@jujubelanding/interfaces';
import { computeChecksum } from '@jujubelanding/random';

export const computeGenerationKey = ({ generation, team }: OnlineGenerationRequest): string => {
  const { model, adapter = null, messages, maxTokens } = generation;
  return computeChecksum(JSON.stringify([team, model, adapter, messages, maxTokens]));
};

export const computeCallKey = ({ service, request, team }: OnlineServiceRequest): string => {
  const { method, path, body } = request;
  return computeChecksum(JSON.stringify([team, service, method, path, computeChecksum(body)]));
};
