/** Plain service in this process that counts the executions of each order. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

export const ORDER_SERVICE_NAME = 'order-desk';

const PROCESSING_MS = 20;

/** 1 in this number of answers is lost: its connection is closed after the order ran. */
const LOST_ANSWER_INTERVAL = 10;

export class OrderService {
  readonly executions = new Map<string, number>();

  private readonly server: Server = createServer((request, response) => {
    void this.answer(request, response);
  });

  private receivedCount = 0;

  /** Listens on a free port and returns host:port. */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const order = Buffer.concat(chunks).toString('utf8');
    if (request.method === 'POST') {
      this.executions.set(order, (this.executions.get(order) ?? 0) + 1);
      this.receivedCount += 1;
    }
    setTimeout(() => {
      if (this.receivedCount % LOST_ANSWER_INTERVAL === 0) {
        request.socket.destroy();
        return;
      }
      response.setHeader('x-request-id', request.headers['x-request-id'] ?? '');
      response.end(order);
    }, PROCESSING_MS);
  }
}
