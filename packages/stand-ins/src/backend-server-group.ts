/** Holds the model engines and plain services of one process and creates clients for them. */
import type { ModelEngine } from './engine/model-engine.js';
import {
  BackendServerGroupClient,
  type BackendServerGroupOptions,
  type BackendServersClient,
} from './backend-server-group-client.js';
import type { PlainService } from './plain-service.js';

export class BackendServerGroup {
  private readonly engines = new Map<string, ModelEngine>();

  private readonly services = new Map<string, PlainService>();

  constructor(readonly options: BackendServerGroupOptions) {}

  addEngine(engine: ModelEngine): void {
    this.engines.set(engine.workerId, engine);
  }

  addPlainService(workerId: string, service: PlainService): void {
    this.services.set(workerId, service);
  }

  removeWorker(workerId: string): void {
    this.engines.delete(workerId);
    this.services.delete(workerId);
  }

  findEngine(workerId: string): ModelEngine | undefined {
    return this.engines.get(workerId);
  }

  findPlainService(workerId: string): PlainService | undefined {
    return this.services.get(workerId);
  }

  /** Creates a client that can be cut off separately. */
  createClient(name: string): BackendServersClient {
    return new BackendServerGroupClient(this, name);
  }
}
