import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import type { Endpoint } from './endpoint.js';
import type { Links } from './links.js';

/** Number of calls and datagrams sent, by kind; used by measurements. */
export interface Traffic {
  calls: Map<string, number>;
  datagrams: Map<string, number>;
}

/** State that all simulated networks share: endpoints by address, link faults and traffic counts. */
export interface NetworkState {
  timer: Timer;
  random: Random;
  links: Links;
  endpoints: Map<string, Endpoint>;
  traffic: Traffic;
}
