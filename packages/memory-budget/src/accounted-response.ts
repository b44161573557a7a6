import { ServerResponse, type IncomingMessage } from 'node:http';
import { UnreadBytes, type OpenUnread } from './unread-bytes.js';

/** Creates the class of responses for a server whose libraries write them. */
export const createAccountedResponse = (open: OpenUnread): typeof ServerResponse =>
  class AccountedResponse<
    Request extends IncomingMessage = IncomingMessage,
  > extends ServerResponse<Request> {
    private readonly unread = new UnreadBytes(this, open);

    override write(...parameters: unknown[]): boolean {
      const isFlowing = super.write(...(parameters as Parameters<ServerResponse['write']>));
      if (!isFlowing) this.unread.track();
      return isFlowing;
    }

    override end(...parameters: unknown[]): this {
      super.end(...(parameters as Parameters<ServerResponse['end']>));
      this.unread.track();
      return this;
    }
  };
