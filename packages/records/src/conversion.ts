/** Converts record specs between schema versions by lookup table. */
import {
  FencingMode,
  RecordKind,
  type RecordSpecs,
  type ServiceRecord,
  type TeamRecord,
} from '@jujubelanding/types';
import { newestVersion, type ServiceRecordV1, type TeamRecordV1 } from './schemas.js';

const MS_PER_SECOND = 1000;
const SECONDS_PER_MINUTE = 60;
const BYTES_PER_KIB = 1024;
/** Makes a rate such as 10 per minute survive conversion to a rate per second and back. */
const RATE_DECIMAL_PLACES = 9;

export type Spec = Record<string, unknown>;

const roundRate = (rate: number): number => Number(rate.toFixed(RATE_DECIMAL_PLACES));

const upgradeService = (spec: ServiceRecordV1): ServiceRecord => {
  const { checksFencing, requestTimeoutSeconds, ...rest } = spec;
  return {
    ...rest,
    fencing: checksFencing ? FencingMode.Checked : FencingMode.Ignored,
    requestTimeoutMs: Math.round(requestTimeoutSeconds * MS_PER_SECOND),
  };
};

const downgradeService = (spec: ServiceRecord): ServiceRecordV1 => {
  const { fencing, requestTimeoutMs, ...rest } = spec;
  return {
    ...rest,
    checksFencing: fencing === FencingMode.Checked,
    requestTimeoutSeconds: requestTimeoutMs / MS_PER_SECOND,
  };
};

const upgradeTeam = (spec: TeamRecordV1): TeamRecord => {
  const { requestsPerMinute, maxBodyKib, ...rest } = spec;
  return {
    ...rest,
    requestsPerSecond: requestsPerMinute / SECONDS_PER_MINUTE,
    maxBodyBytes: Math.floor(maxBodyKib * BYTES_PER_KIB),
  };
};

const downgradeTeam = (spec: TeamRecord): TeamRecordV1 => {
  const { requestsPerSecond, maxBodyBytes, ...rest } = spec;
  return {
    ...rest,
    requestsPerMinute: roundRate(requestsPerSecond * SECONDS_PER_MINUTE),
    maxBodyKib: maxBodyBytes / BYTES_PER_KIB,
  };
};

type Conversion = (spec: Spec) => Spec;

// Safe because a spec is validated by the schema of its version before it is converted.
const eraseSpecTypes = <From, To>(convert: (spec: From) => To): Conversion =>
  convert as unknown as Conversion;

/** Conversions by kind: `up[0]` converts version 1 to 2, `down[0]` version 2 to 1. */
const CONVERSIONS: Partial<
  Record<RecordKind, { up: readonly Conversion[]; down: readonly Conversion[] }>
> = {
  [RecordKind.Service]: {
    up: [eraseSpecTypes(upgradeService)],
    down: [eraseSpecTypes(downgradeService)],
  },
  [RecordKind.Team]: { up: [eraseSpecTypes(upgradeTeam)], down: [eraseSpecTypes(downgradeTeam)] },
};

/** Converts a valid spec from one schema version to another. */
export const convertSpec = (kind: RecordKind, spec: Spec, from: number, to: number): Spec => {
  const conversions = CONVERSIONS[kind];
  let converted = spec;
  for (let version = from; version < to; version += 1) {
    converted = conversions!.up[version - 1]!(converted);
  }
  for (let version = from; version > to; version -= 1) {
    converted = conversions!.down[version - 2]!(converted);
  }
  return converted;
};

/** Converts a valid spec to the newest schema version. */
export const convertToNewest = <K extends RecordKind>(
  kind: K,
  spec: Spec,
  from: number,
): RecordSpecs[K] =>
  convertSpec(kind, spec, from, newestVersion(kind)) as unknown as RecordSpecs[K];
