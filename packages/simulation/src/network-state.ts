import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import type { Endpoint } from './endpoint.js';
import type { Links } from './links.js';

/** Calls and datagrams sent, by kind; read by measurements. */
export interface Traffic {
  calls: Map<string, number>;
  datagrams: Map<string, number>;
}

/** Address book and fault state that all simulated networks share. */
export interface NetworkState {
  timer: Timer;
  random: Random;
  links: Links;
  endpoints: Map<string, Endpoint>;
  traffic: Traffic;
}
