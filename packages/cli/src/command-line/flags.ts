/** Definitions of all flags; each command accepts a subset of them. */

export enum Flag {
  EntryVm = 'entry-vm',
  Token = 'token',
  TeamKey = 'team-key',
  Json = 'json',
  Timeout = 'timeout',
  Help = 'help',
  Version = 'version',
  ExpectedRevision = 'expected-revision',
  DryRun = 'dry-run',
  Operator = 'operator',
  Wait = 'wait',
  Model = 'model',
  Adapter = 'adapter',
  Job = 'job',
  DueIn = 'due-in',
  IdempotencyKey = 'idempotency-key',
  From = 'from',
  To = 'to',
  Output = 'output',
  MaxTokens = 'max-tokens',
  AvailabilityZone = 'availability-zone',
}

export enum FlagKind {
  /** Takes no value. */
  Switch = 'switch',
  Value = 'value',
  /** May be repeated. */
  List = 'list',
}

export interface FlagDefinition {
  kind: FlagKind;
  /** Placeholder for the value in the help text. */
  placeholder?: string;
  /** Environment variable that is read if the flag is absent. */
  variable?: string;
  description: string;
}

const defineSwitch = (description: string): FlagDefinition => ({
  kind: FlagKind.Switch,
  description,
});

const defineValue = (
  placeholder: string,
  description: string,
  variable?: string,
): FlagDefinition => ({
  kind: FlagKind.Value,
  placeholder,
  description,
  ...(variable === undefined ? {} : { variable }),
});

export const FLAG_DEFINITIONS: Record<Flag, FlagDefinition> = {
  [Flag.EntryVm]: {
    kind: FlagKind.List,
    placeholder: 'HOST:PORT',
    variable: 'JUJUBELANDING_ENTRY_VMS',
    description: 'Caller address of an entry VM; several are tried in order.',
  },
  [Flag.Token]: defineValue('TOKEN', 'Operator token.', 'JUJUBELANDING_OPERATOR_TOKEN'),
  [Flag.TeamKey]: defineValue('KEY', 'Key of the team.', 'JUJUBELANDING_TEAM_KEY'),
  [Flag.Json]: defineSwitch('Prints JSON instead of tables.'),
  [Flag.Timeout]: defineValue('DURATION', 'Time limit of the command, such as 30s or 10m.'),
  [Flag.Help]: defineSwitch('Shows the help text.'),
  [Flag.Version]: defineSwitch('Shows the version.'),
  [Flag.ExpectedRevision]: defineValue(
    'N',
    'Revision that the record must have; 0 if it must not exist.',
  ),
  [Flag.DryRun]: defineSwitch('Shows the differences and writes nothing.'),
  [Flag.Operator]: defineValue(
    'NAME',
    'Author of the change in the history.',
    'JUJUBELANDING_OPERATOR',
  ),
  [Flag.Wait]: defineSwitch('Waits until the change is in force everywhere or the job has ended.'),
  [Flag.Model]: defineValue('NAME', 'Model that generates the results.'),
  [Flag.Adapter]: defineValue('NAME', 'Adapter of the model.'),
  [Flag.Job]: defineValue('NAME', 'Job record that names the model and the due time.'),
  [Flag.DueIn]: defineValue('DURATION', 'Time until the job is due, such as 12h.'),
  [Flag.IdempotencyKey]: defineValue(
    'KEY',
    'Key under which a repeated submission creates one job.',
  ),
  [Flag.From]: defineValue('N', 'Index of the first item, counted from 0.'),
  [Flag.To]: defineValue('N', 'Index of the item after the last one, counted from 0.'),
  [Flag.Output]: defineValue('FILE', 'Output file; standard output if absent.'),
  [Flag.MaxTokens]: defineValue('N', 'Maximum number of tokens to generate.'),
  [Flag.AvailabilityZone]: defineValue('NAME', 'Availability zone of the caller.'),
};

/** Flags that every command accepts. */
export const GLOBAL_FLAGS: readonly Flag[] = [
  Flag.EntryVm,
  Flag.Token,
  Flag.TeamKey,
  Flag.Json,
  Flag.Timeout,
  Flag.Help,
  Flag.Version,
];
