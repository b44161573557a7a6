/** Fleets of the design page, and the settings of the model engine that their workers run. */
import { DEFAULT_ENGINE_SETTINGS, type EngineSettings } from '@jujubelanding/stand-ins';

export interface Deployment {
  name: string;
  availabilityZones: string[];
  workers: number;
  entryVms: number;
  /** One-way network delay between availability zones. */
  remoteDelayMs: number;
  /** One-way network delay within an availability zone. */
  localDelayMs: number;
  engine: EngineSettings;
}

const LOCAL_DELAY_MS = 0.25;

const ENGINE: EngineSettings = { ...DEFAULT_ENGINE_SETTINGS, slots: 8, models: ['base'] };

export const GLASS_TRADERS: Deployment = {
  name: 'glass-traders',
  availabilityZones: ['jhb-east', 'jhb-west', 'pta-north', 'ekurhuleni'],
  workers: 6,
  entryVms: 7,
  remoteDelayMs: 1.5,
  localDelayMs: LOCAL_DELAY_MS,
  engine: ENGINE,
};

export const SVEPPASMIDJAN: Deployment = {
  name: 'sveppasmidjan',
  availabilityZones: ['hofn-a', 'fjordur-b', 'nes-c', 'selfoss-d'],
  workers: 13,
  entryVms: 8,
  remoteDelayMs: 1,
  localDelayMs: LOCAL_DELAY_MS,
  engine: ENGINE,
};

export const countSlots = ({ workers, engine }: Deployment): number => workers * engine.slots;
