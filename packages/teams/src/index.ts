/** Teams of callers and the lookup of a team by the digest of its key. */
export type { Team, TeamSettings } from './team.js';
export { digestKey, TeamIndex, type TeamKeys } from './team-index.js';
