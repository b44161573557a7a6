import test from 'ava';
import { computeChecksum } from '@jujubelanding/random';
import { createHelp, createMarkdownTable, formatFaults, parseSettings } from './index.js';

const TOKEN = 'operator-token-for-tests';
const FLEET_KEY = 'fleet-key-for-tests-0001';

const VALID = {
  JUJUBELANDING_ENTRY_VM_ID: 'vm-1',
  JUJUBELANDING_AVAILABILITY_ZONE: 'jhb-east',
  JUJUBELANDING_PEER_ADDRESS: '127.0.0.1:0',
  JUJUBELANDING_CALLER_ADDRESS: '[::1]:0',
  JUJUBELANDING_KEY_VALUE_ADDRESS: '127.0.0.1:2000',
  JUJUBELANDING_VM_LIST_ADDRESS: '127.0.0.1:2001',
  JUJUBELANDING_WEIGHT_STORE_ADDRESS: '127.0.0.1:2002',
  JUJUBELANDING_FLEET_KEY: FLEET_KEY,
  JUJUBELANDING_OPERATOR_TOKEN: TOKEN,
};

const reportFaults = (argv: string[], environment = {}): string =>
  formatFaults(parseSettings(argv, { ...VALID, ...environment }).expectErr('faults expected'));

test('settings that are not given get their defaults; only the checksum of the operator token is kept', (t) => {
  const settings = parseSettings([], VALID).expect('valid settings');
  t.snapshot(settings);
  t.is(settings.operatorTokenHash, computeChecksum(TOKEN));
  t.false(JSON.stringify(settings).includes(TOKEN));
});

test('a flag takes precedence over its variable, with a space or "=" before its value', (t) => {
  const argv = ['--peer-address=10.0.0.1:7000', '--result-retention', '48h'];
  const environment = { ...VALID, JUJUBELANDING_RESULT_RETENTION: '2h' };
  const settings = parseSettings(argv, environment).expect('valid settings');
  t.is(settings.peerAddress, '10.0.0.1:7000');
  t.is(settings.resultRetentionMs, 172_800_000);
});

test('an empty variable counts as not set', (t) => {
  t.true(parseSettings([], { ...VALID, JUJUBELANDING_DATA_FOLDER: '' }).isOk());
});

test('all faults of all sources are reported together', (t) => {
  const argv = [
    ...['--segment-copies', '1', '--peer-adress', '10.0.0.1:1', '-x', 'stray'],
    ...['--entry-point-lifetime', '30', '--data-folder', 'data', '--log-selection'],
    ...['--entry-vm-id', 'a', '--entry-vm-id', 'b', '--no-statsd-address'],
  ];
  t.snapshot(
    reportFaults(argv, {
      JUJUBELANDING_AVAILABILITY_ZONE: 'Jhb East',
      JUJUBELANDING_CALLER_ADDRESS: '0.0.0.0:80',
      JUJUBELANDING_KEY_VALUE_ADDRESS: '127.0.0.1:0',
      JUJUBELANDING_VM_LIST_ADDRESS: undefined,
      JUJUBELANDING_MAX_ONLINE_IN_FLIGHT: '1e3',
      JUJUBELANDING_FLEET_KEY: 'short-key',
    }),
  );
});

test('secrets are not shown, not even after a misspelled flag', (t) => {
  const report = reportFaults([
    '--fleetkey',
    'hidden-1',
    '--operator-token',
    'hidden-2',
    'hidden-3',
  ]);
  t.false(report.includes('hidden'));
});

test('settings that contradict each other are reported with both names', (t) => {
  t.snapshot(
    reportFaults(['--fleet-key', TOKEN], {
      JUJUBELANDING_PEER_ADDRESS: '127.0.0.1:2000',
      JUJUBELANDING_CALLER_ADDRESS: '10.0.0.1:2000',
    }),
  );
});

test('help and Markdown table list every setting', (t) => {
  t.snapshot(createHelp());
  t.snapshot(createMarkdownTable());
});
