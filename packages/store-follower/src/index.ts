/** Keeps a local copy of the keys under a prefix. */
export { StoreFollower, type FollowedChange, type StoreFollowerOptions } from './store-follower.js';
