import type { Log } from '@jujubelanding/log';
import { RouteTable, type RoutingConfiguration } from '@jujubelanding/route-table';
import type { Result } from 'neverthrow';

export interface ConfigurationStateOptions {
  log: Log;
  decode: (value: string) => Result<RoutingConfiguration, string>;
  onChange: (table: RouteTable) => void;
}

/** Holds the active configuration. Configurations that are not newer than the active one are ignored. */
export class ConfigurationState {
  private activeTable: RouteTable | undefined;

  constructor(private readonly options: ConfigurationStateOptions) {}

  get table(): RouteTable | undefined {
    return this.activeTable;
  }

  apply(value: string): void {
    const { log, decode, onChange } = this.options;
    const decoded = decode(value);
    if (decoded.isErr()) {
      log.write('configuration-rejected', { message: decoded.error });
      return;
    }
    const { version, routes } = decoded.value;
    const former = this.activeTable?.version;
    if (former !== undefined && version <= former) {
      log.write('configuration-ignored', { version, inForce: former });
      return;
    }
    this.activeTable = new RouteTable(decoded.value);
    onChange(this.activeTable);
    log.write('configuration', { version, former, routes: routes.length });
  }
}
