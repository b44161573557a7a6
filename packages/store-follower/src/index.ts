/** Keeps a local copy of the keys under a prefix up to date. */
export { StoreFollower, type FollowedChange, type StoreFollowerOptions } from './store-follower.js';
