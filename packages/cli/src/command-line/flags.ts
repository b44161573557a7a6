/** All flags of the command-line tool; each command accepts some of them. */

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
  /** Given without a value. */
  Switch = 'switch',
  Value = 'value',
  /** May be given several times. */
  List = 'list',
}

export interface FlagDefinition {
  kind: FlagKind;
  /** What stands for the value in the help text. */
  placeholder?: string;
  /** Environment variable that is read when the flag is not given. */
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
  [Flag.Json]: defineSwitch('Writes JSON for programs instead of tables.'),
  [Flag.Timeout]: defineValue('DURATION', 'Time for the whole command, such as 30s or 10m.'),
  [Flag.Help]: defineSwitch('Shows the help text.'),
  [Flag.Version]: defineSwitch('Shows the version.'),
  [Flag.ExpectedRevision]: defineValue('N', 'Revision that the record must have; 0 for none.'),
  [Flag.DryRun]: defineSwitch('Shows the differences and writes nothing.'),
  [Flag.Operator]: defineValue('NAME', 'Who writes, for the history.', 'JUJUBELANDING_OPERATOR'),
  [Flag.Wait]: defineSwitch('Waits for the end: in force everywhere, or job ended.'),
  [Flag.Model]: defineValue('NAME', 'Model that generates.'),
  [Flag.Adapter]: defineValue('NAME', 'Adapter of the model.'),
  [Flag.Job]: defineValue('NAME', 'Job record that names the model and the due time.'),
  [Flag.DueIn]: defineValue('DURATION', 'Time until the job is due, such as 12h.'),
  [Flag.IdempotencyKey]: defineValue('KEY', 'Key under which a repeated submission counts once.'),
  [Flag.From]: defineValue('N', 'First item, counted from 0.'),
  [Flag.To]: defineValue('N', 'Item before which the results end.'),
  [Flag.Output]: defineValue('FILE', 'File to write; standard output without it.'),
  [Flag.MaxTokens]: defineValue('N', 'Largest number of tokens to generate.'),
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
